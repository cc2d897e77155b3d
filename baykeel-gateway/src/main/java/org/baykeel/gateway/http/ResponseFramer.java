package org.baykeel.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;

/**
 * Frames responses. A body without a length ends with its connection only if the end of the stream
 * was read: a connection that is reset, or closed by this side, leaves it incomplete, which is
 * passed on as an exception before the decoder learns of the end.
 */
public final class ResponseFramer extends MessageFramer {
  private static final int MAX_HEAD_BYTES = 12_288;
  private static final int MAX_FIELDS = 256;

  /**
   * A longer request may lie unread in the buffers of the systems when the end of its response is
   * read, and the engine may still reset the connection.
   */
  private static final int SHORT_REQUEST_BYTES = 1 << 16;

  /** The time after which the end of a response to a long request is confirmed. */
  private static final long CONFIRM_MILLIS = 100;

  /** Servers ignore an empty line behind a request. */
  private static final byte[] EMPTY_LINE = {'\r', '\n'};

  private ChannelFuture written;
  private boolean confirmsEnd;

  /** Creates a framer for the responses of one connection. */
  public ResponseFramer() {
    super(MessageHead.Kind.RESPONSE, MAX_HEAD_BYTES);
  }

  /**
   * Records the request whose response is read next. A body that ends with the connection before
   * the request was written is not whole.
   *
   * @param requestWritten completes when the request was written
   * @param bytes the length of its body, in bytes
   */
  void requestSent(ChannelFuture requestWritten, int bytes) {
    written = requestWritten;
    confirmsEnd = bytes > SHORT_REQUEST_BYTES;
  }

  /** Returns a decoder for responses that were framed. */
  static HttpResponseDecoder decoder() {
    return new HttpResponseDecoder(new HttpDecoderConfig().setValidateHeaders(false));
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    super.handlerAdded(handlerContext);
    // Without this, the end of the stream cannot be told from a close by this side.
    handlerContext.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
  }

  @Override
  void onHead(MessageHead complete, int bytes) {
    if (complete.fields() > MAX_FIELDS) {
      throw new MalformedMessageException(
          MalformedMessageException.Kind.HEAD_TOO_LARGE, "response has too many fields");
    }
  }

  @Override
  boolean waitsBetweenMessages() {
    return false;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext handlerContext, Object event) {
    if (event != ChannelInputShutdownEvent.INSTANCE) {
      handlerContext.fireUserEventTriggered(event);
      return;
    }
    if (isInBodyToClose() && confirmsEnd) {
      handlerContext
          .executor()
          .schedule(() -> confirmEnd(handlerContext), CONFIRM_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      end(handlerContext);
    }
  }

  /** A write fails if the connection was reset after the end of its stream was read. */
  private void confirmEnd(ChannelHandlerContext handlerContext) {
    if (!handlerContext.channel().isActive()) {
      return;
    }
    handlerContext
        .writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE))
        .addListener(
            written -> {
              if (written.isSuccess()) {
                end(handlerContext);
              } else {
                handlerContext.close();
              }
            });
  }

  private void end(ChannelHandlerContext handlerContext) {
    if (isInBodyToClose() && written != null && !written.isSuccess()) {
      handlerContext.close();
      return;
    }
    // The connection must not be used again by whoever learns of the end of the response.
    handlerContext.close();
    if (isInBodyToClose()) {
      endBodyToClose();
      // The decoder completes the response.
      handlerContext.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) throws Exception {
    if (isInBodyToClose()) {
      handlerContext.fireExceptionCaught(new ClosedChannelException());
    } else if (hasStartLineOnly()) {
      handlerContext.fireExceptionCaught(
          new PrematureChannelClosureException("connection closed in the head of the response"));
    }
    super.channelInactive(handlerContext);
  }
}
