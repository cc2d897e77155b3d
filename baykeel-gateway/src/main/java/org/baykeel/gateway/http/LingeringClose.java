package org.baykeel.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose caller may still be sending. Closing a socket with unread bytes resets
 * the connection, and the reset can overtake the response. The output is therefore shut down first,
 * and incoming bytes are read and discarded until the caller closes, or until a limit of time or of
 * bytes is reached.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {
  private static final long LINGER_MILLIS = 2_000;

  /** More than a body that exceeds a limit of some megabytes has left when it is refused. */
  private static final long MAX_DISCARDED_BYTES = 32 << 20;

  private long discardedBytes;

  private LingeringClose() {}

  /** Starts to close a connection after the preceding writes. */
  public static void begin(Channel channel) {
    channel.pipeline().addFirst(new LingeringClose());
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              if (channel instanceof DuplexChannel duplex && written.isSuccess()) {
                duplex.shutdownOutput();
              }
            });
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes) {
      discardedBytes += bytes.readableBytes();
    }
    ReferenceCountUtil.release(message);
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      context.close();
    }
  }
}
