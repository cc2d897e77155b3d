package org.baykeel.node.transport;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.wire.PeerMessageDecoder;
import org.baykeel.core.wire.PeerMessageEncoder;

/**
 * TCP between nodes. One outgoing connection for each peer address; a message that cannot be sent
 * is dropped, since the node's logic repeats what matters.
 */
public final class PeerTransport {
  /** Receives what comes from other nodes, on a network thread. */
  public interface Receiver {
    /** A message has come. */
    void onMessage(MemberId from, PeerMessage message);

    /** A frame was dropped. */
    void onDropped(MemberId from, String reason);
  }

  private static final int MAXIMUM_FRAME_BYTES = 256 * 1024 * 1024;
  private static final int LENGTH_BYTES = 4;
  private static final int HIGH_WATER_BYTES = 64 * 1024 * 1024;
  private static final int LOW_WATER_BYTES = 16 * 1024 * 1024;
  private static final int CONNECT_MILLIS = 1_000;

  private final EventLoopGroup group;
  private final Receiver receiver;
  private final PeerMessageEncoder encoder = new PeerMessageEncoder();
  private final Map<InetSocketAddress, ChannelFuture> connections = new HashMap<>();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder sentMessages = new LongAdder();
  private volatile MemberId self = MemberId.NONE;
  private Channel server;

  public PeerTransport(EventLoopGroup group, Receiver receiver) {
    this.group = requireNonNull(group, "group");
    this.receiver = requireNonNull(receiver, "receiver");
  }

  /** Listens; returns the port, which the system chooses if 0 is asked for. */
  public int listen(MemberId selfId, String host, int port) {
    self = requireNonNull(selfId, "selfId");
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Initializer());
    server = bootstrap.bind(host, port).syncUninterruptibly().channel();
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Sends a message; called only by the agent's thread. */
  public void send(String host, int port, MemberId to, PeerMessage message) {
    byte[] bytes = encoder.encode(message);
    ChannelFuture connection = connection(new InetSocketAddress(host, port));
    PeerFrame frame = new PeerFrame(self, to, Payload.wrap(bytes));
    sentMessages.increment();
    sentBytes.add(bytes.length + PeerFrame.ADDRESSING_BYTES + LENGTH_BYTES);
    if (connection.isSuccess()) {
      write(connection.channel(), frame);
    } else {
      connection.addListener(
          future -> {
            if (future.isSuccess()) {
              write(connection.channel(), frame);
            }
          });
    }
  }

  private static void write(Channel channel, PeerFrame frame) {
    if (channel.isWritable()) {
      channel.writeAndFlush(frame);
    }
  }

  private ChannelFuture connection(InetSocketAddress address) {
    ChannelFuture present = connections.get(address);
    boolean usable =
        present != null && (!present.isDone() || (present.isSuccess() && isOpen(present)));
    if (usable) {
      return present;
    }
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
            .handler(new Initializer());
    ChannelFuture fresh = bootstrap.connect(address);
    connections.put(address, fresh);
    return fresh;
  }

  private static boolean isOpen(ChannelFuture connection) {
    return connection.channel().isActive();
  }

  /** Bytes sent to other nodes. */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Messages sent to other nodes. */
  public long sentMessages() {
    return sentMessages.sum();
  }

  /** Stops listening. */
  public void close() {
    if (server != null) {
      server.close().syncUninterruptibly();
    }
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(
              new LengthFieldBasedFrameDecoder(
                  MAXIMUM_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
          .addLast(new LengthFieldPrepender(LENGTH_BYTES))
          .addLast(new PeerFrameCodec())
          .addLast(new FrameHandler());
    }
  }

  private final class FrameHandler extends SimpleChannelInboundHandler<PeerFrame> {
    private final PeerMessageDecoder decoder = new PeerMessageDecoder();

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
      boolean mine = frame.to().equals(self) || frame.to().equals(MemberId.NONE);
      if (!mine) {
        receiver.onDropped(frame.from(), "meant for " + frame.to());
        return;
      }
      receiver.onMessage(frame.from(), decoder.decode(frame.message().array()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
