package org.baykeel.gateway.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.remote.StoreReply;

/** Serves the requests of other nodes. */
public final class LinkServer {
  /** Most concurrent store calls for one connection; further ones are refused. */
  private static final int MAX_STORE_CALLS_PER_CONNECTION = 256;

  private final LinkServices services;

  /**
   * Creates a server.
   *
   * @param services performs the requests
   */
  public LinkServer(LinkServices services) {
    this.services = services;
  }

  /**
   * Starts to listen; may be called on the event loop.
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
                PeerConnection peer = new PeerConnection(channel);
                LinkChannel.prepare(channel.pipeline(), peer::onMessage, () -> {});
              }
            })
        .bind(address);
  }

  /** The connection of one other node. */
  private final class PeerConnection {
    private final SocketChannel channel;
    private int storeCalls;

    PeerConnection(SocketChannel channel) {
      this.channel = channel;
    }

    void onMessage(LinkMessage message) {
      long id = message.correlationId();
      if (message instanceof LinkMessage.StoreRequest request) {
        callStore(request);
      } else if (message instanceof LinkMessage.GrantRequest request) {
        send(new LinkMessage.GrantResponse(id, services.releaseGrant(request.program())));
      } else if (message instanceof LinkMessage.TurnsRequest request) {
        send(new LinkMessage.TurnsResponse(id, turnsInMemory(request.turnId())));
      } else {
        channel.close();
      }
    }

    /** Sends no turns while earlier ones are on their way, so that a slow peer holds few bytes. */
    private List<StoredTurn> turnsInMemory(String turnId) {
      return channel.isWritable() ? services.turnsInMemory(turnId) : List.of();
    }

    private void callStore(LinkMessage.StoreRequest request) {
      long id = request.correlationId();
      if (storeCalls >= MAX_STORE_CALLS_PER_CONNECTION) {
        send(new LinkMessage.StoreResponse(id, new StoreReply.NotSent("too many relayed calls")));
        return;
      }
      storeCalls++;
      services.callStore(
          request.call(),
          outcome -> {
            storeCalls--;
            send(new LinkMessage.StoreResponse(id, outcome));
          });
    }

    private void send(LinkMessage response) {
      channel.writeAndFlush(LinkChannel.encodeFrame(response));
    }
  }
}
