package org.baykeel.gateway.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.baykeel.gateway.remote.StoreCaller;
import org.baykeel.gateway.remote.StoreReply;

/** Makes calls to the store in place of nodes that can't reach it. */
public final class RelayServer {
  /** Calls under way for one other node; more are turned down. */
  private static final int MAX_CALLS_PER_CONNECTION = 256;

  private final StoreCaller store;

  /**
   * Creates a server.
   *
   * @param store this node's own way to the store
   */
  public RelayServer(StoreCaller store) {
    this.store = store;
  }

  /**
   * Begins to listen; may be called on the event loop.
   *
   * @return completes when the address is bound, or fails if it cannot be
   */
  public ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                Caller caller = new Caller(channel);
                RelayChannel.prepare(channel.pipeline(), caller::onMessage, () -> {});
              }
            })
        .bind(address);
  }

  /** The node at the other end of one connection. */
  private final class Caller {
    private final SocketChannel channel;
    private int underWay;

    Caller(SocketChannel channel) {
      this.channel = channel;
    }

    void onMessage(RelayMessage message) {
      if (!(message instanceof RelayMessage.Request request)) {
        channel.close();
        return;
      }
      if (underWay >= MAX_CALLS_PER_CONNECTION) {
        reply(request.correlationId(), new StoreReply.NotSent("too many relayed calls"));
        return;
      }
      underWay++;
      store.call(
          request.call(),
          outcome -> {
            underWay--;
            reply(request.correlationId(), outcome);
          });
    }

    private void reply(long correlationId, StoreReply outcome) {
      channel.writeAndFlush(RelayChannel.frame(new RelayMessage.Reply(correlationId, outcome)));
    }
  }
}
