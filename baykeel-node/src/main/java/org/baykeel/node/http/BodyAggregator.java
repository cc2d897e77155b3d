package org.baykeel.node.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import org.baykeel.core.error.ErrorKind;

/** Collects a request's body; one that is too large gets an error of the closed list. */
final class BodyAggregator extends HttpObjectAggregator {
  BodyAggregator(int maximumBytes) {
    super(maximumBytes);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    HttpExchange.refuseUnread(context.channel(), ErrorKind.TOO_LARGE);
  }
}
