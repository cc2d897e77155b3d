package org.baykeel.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Frames responses. */
final class ResponseFramer extends MessageFramer {
  private static final int MAX_HEAD_BYTES = 12_288;
  private static final int MAX_FIELDS = 256;

  ResponseFramer() {
    super(MessageHead.Kind.RESPONSE, MAX_HEAD_BYTES);
  }

  /** Returns a decoder for responses that were framed. */
  static HttpResponseDecoder decoder() {
    return new HttpResponseDecoder(new HttpDecoderConfig().setValidateHeaders(false));
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
  public void channelInactive(ChannelHandlerContext handlerContext) throws Exception {
    if (isInBodyToClose()) {
      endBodyToClose();
    } else if (hasStartLineOnly()) {
      handlerContext.fireExceptionCaught(
          new PrematureChannelClosureException("connection closed in the head of the response"));
    }
    super.channelInactive(handlerContext);
  }
}
