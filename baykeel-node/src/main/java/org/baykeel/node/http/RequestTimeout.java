package org.baykeel.node.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Closes a connection on which a request has begun and does not come to its end in time. */
final class RequestTimeout extends ChannelInboundHandlerAdapter {
  private final int requestMillis;
  private Future<?> timer;

  RequestTimeout(int requestMillis) {
    this.requestMillis = requestMillis;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest) {
      cancelTimer();
      timer =
          context.executor().schedule(() -> context.close(), requestMillis, TimeUnit.MILLISECONDS);
    }
    if (message instanceof LastHttpContent) {
      cancelTimer();
    }
    context.fireChannelRead(message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancelTimer();
    context.fireChannelInactive();
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
