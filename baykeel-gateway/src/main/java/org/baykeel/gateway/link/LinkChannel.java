package org.baykeel.gateway.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.IOException;
import java.util.function.Consumer;

/** The framing of a connection between nodes: a length of four bytes, then one message. */
final class LinkChannel {
  private static final int LENGTH_BYTES = 4;

  /** Larger than the largest store response that this node accepts, so that any can be relayed. */
  private static final int MAX_FRAME_BYTES = 17 << 20;

  private LinkChannel() {}

  /**
   * Adds the handlers of a connection.
   *
   * @param onMessage receives each message
   * @param onClosed runs when the connection is closed
   */
  static void prepare(
      ChannelPipeline pipeline, Consumer<LinkMessage> onMessage, Runnable onClosed) {
    pipeline
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new MessageHandler(onMessage, onClosed));
  }

  static ByteBuf encodeFrame(LinkMessage message) {
    return Unpooled.wrappedBuffer(LinkCodec.encode(message));
  }

  /**
   * Passes messages on and ignores those of an unknown kind, which a later version may send. Any
   * other bytes close the connection.
   */
  private static final class MessageHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final Consumer<LinkMessage> onMessage;
    private final Runnable onClosed;

    MessageHandler(Consumer<LinkMessage> onMessage, Runnable onClosed) {
      this.onMessage = onMessage;
      this.onClosed = onClosed;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      LinkMessage message;
      try {
        message = LinkCodec.decode(bytes);
      } catch (LinkCodec.UnknownMessageException e) {
        // The sender gets no response, so its request times out.
        return;
      }
      onMessage.accept(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      onClosed.run();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (!(cause instanceof IOException)) {
        InternalLoggerFactory.getInstance(LinkChannel.class)
            .warn("message of a node failed", cause);
      }
      context.close();
    }
  }
}
