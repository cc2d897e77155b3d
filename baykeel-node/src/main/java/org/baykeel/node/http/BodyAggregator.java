package org.baykeel.node.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.baykeel.core.error.ErrorKind;

/** Collects a request's body; one that is too large gets an error of the closed list. */
final class BodyAggregator extends HttpObjectAggregator {
  BodyAggregator(int maximumBytes) {
    super(maximumBytes);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized)
      throws Exception {
    ErrorKind kind = ErrorKind.TOO_LARGE;
    byte[] body = HttpExchange.MAPPER.writeValueAsBytes(ErrorBody.of(kind, kind.summary(), 0));
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(kind.httpStatus()),
            Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    response.headers().set("Baykeel-Execution", ErrorBody.lowerCase(kind.execution()));
    context.writeAndFlush(response);
    LingeringClose.begin(context.channel());
  }
}
