package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TestLingeringClose {
  private static final int LONG_REQUEST = 16 << 20;
  private static final int TIMEOUT_MILLIS = 20_000;

  /** Responds to the first bytes and starts a lingering close. */
  private static final class RefusingHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ReferenceCountUtil.release(message);
      context.writeAndFlush(Unpooled.wrappedBuffer("refused".getBytes(StandardCharsets.US_ASCII)));
      LingeringClose.begin(context.channel());
    }
  }

  @Test
  void deliversTheResponseToACallerThatIsStillSending() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      ServerBootstrap server =
          new ServerBootstrap()
              .group(group)
              .channel(NioServerSocketChannel.class)
              .childHandler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                      channel.pipeline().addLast(new RefusingHandler());
                    }
                  });
      InetSocketAddress address =
          (InetSocketAddress) server.bind("127.0.0.1", 0).sync().channel().localAddress();
      try (Socket caller = new Socket("127.0.0.1", address.getPort())) {
        caller.setSoTimeout(TIMEOUT_MILLIS);
        caller.getOutputStream().write(new byte[LONG_REQUEST]);
        byte[] response = caller.getInputStream().readAllBytes();
        assertEquals("refused", new String(response, StandardCharsets.US_ASCII));
      }
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
  }
}
