package org.baykeel.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes responses and knows whether anything was received after the last complete one, even if it
 * is not enough for another response.
 */
final class ResponseBoundaryDecoder extends HttpResponseDecoder {
  private boolean atBoundary = true;

  /** Whether no byte was received, or none after the end of a response. */
  boolean isAtBoundary() {
    return atBoundary;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    super.decode(context, in, out);
    atBoundary = endsResponse(out) && !in.isReadable();
  }

  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    super.decodeLast(context, in, out);
    atBoundary = atBoundary || endsResponse(out);
  }

  private static boolean endsResponse(List<Object> out) {
    return !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
  }
}
