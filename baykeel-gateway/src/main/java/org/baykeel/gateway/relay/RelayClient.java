package org.baykeel.gateway.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.remote.RelayTransport;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;

/** Has other nodes call the store, over one connection to each node that was asked. */
public final class RelayClient implements RelayTransport {
  private static final int CONNECT_TIMEOUT_MILLIS = 200;

  private final EventLoopGroup group;
  private final Map<PeerAddress, Link> links = new HashMap<>();

  /**
   * Creates a client without connections.
   *
   * @param group the event loop
   */
  public RelayClient(EventLoopGroup group) {
    this.group = group;
  }

  @Override
  public void call(PeerAddress peer, StoreCall call, Consumer<StoreReply> answer) {
    links.computeIfAbsent(peer, Link::new).call(call, answer);
  }

  /** A call that waits for its outcome. */
  private record Waiting(Consumer<StoreReply> answer, Future<?> timeout) {}

  /** The connection to one node, made when it is first needed. */
  private final class Link {
    private final PeerAddress peer;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private long lastCorrelationId;
    private Channel channel;

    Link(PeerAddress peer) {
      this.peer = peer;
    }

    void call(StoreCall call, Consumer<StoreReply> answer) {
      if (channel != null) {
        send(call, answer);
        return;
      }
      connect()
          .addListener(
              connected -> {
                if (connected.isSuccess() && channel != null) {
                  send(call, answer);
                } else {
                  answer.accept(new StoreReply.NotSent("no connection to " + peer));
                }
              });
    }

    private ChannelFuture connect() {
      ChannelFuture connecting =
          new Bootstrap()
              .group(group)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel opened) {
                      RelayChannel.prepare(
                          opened.pipeline(),
                          message -> onMessage(opened, message),
                          () -> onClosed(opened));
                    }
                  })
              .connect(peer.host(), peer.port());
      connecting.addListener(connected -> adopt(connecting));
      return connecting;
    }

    /** Of two connections made at the same time the first one stays. */
    private void adopt(ChannelFuture connected) {
      if (!connected.isSuccess()) {
        return;
      }
      if (channel == null) {
        channel = connected.channel();
      } else {
        connected.channel().close();
      }
    }

    private void send(StoreCall call, Consumer<StoreReply> answer) {
      long correlationId = ++lastCorrelationId;
      Future<?> timeout =
          group
              .next()
              .schedule(
                  () -> end(correlationId, new StoreReply.Lost("time-out at " + peer)),
                  call.timeoutMillis(),
                  TimeUnit.MILLISECONDS);
      waiting.put(correlationId, new Waiting(answer, timeout));
      channel.writeAndFlush(RelayChannel.frame(new RelayMessage.Request(correlationId, call)));
    }

    private void onMessage(Channel from, RelayMessage message) {
      if (message instanceof RelayMessage.Reply reply) {
        end(reply.correlationId(), reply.reply());
      } else {
        from.close();
      }
    }

    private void end(long correlationId, StoreReply reply) {
      Waiting ended = waiting.remove(correlationId);
      if (ended != null) {
        ended.timeout().cancel(false);
        ended.answer().accept(reply);
      }
    }

    private void onClosed(Channel closed) {
      if (closed != channel) {
        return;
      }
      channel = null;
      for (Long correlationId : new ArrayList<>(waiting.keySet())) {
        end(correlationId, new StoreReply.Lost("connection to " + peer + " closed"));
      }
    }
  }
}
