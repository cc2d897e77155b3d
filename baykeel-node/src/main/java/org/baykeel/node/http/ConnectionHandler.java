package org.baykeel.node.http;

import static java.util.Objects.requireNonNull;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicBoolean;
import org.baykeel.core.error.ErrorKind;

/** One connection: requests are answered one after the other, in the order in which they came. */
final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final int MAXIMUM_PIPELINED = 16;

  private final RequestRouter router;
  private final Deque<HttpExchange> queued = new ArrayDeque<>();
  private boolean busy;
  private HttpExchange current;

  ConnectionHandler(RequestRouter router) {
    this.router = requireNonNull(router, "router");
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    byte[] body = new byte[request.content().readableBytes()];
    request.content().readBytes(body);
    String uri = request.uri();
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    HttpHeaders headers = request.headers().copy();
    AtomicBoolean finished = new AtomicBoolean();
    HttpExchange exchange =
        new HttpExchange(
            context.channel(),
            request.method().name(),
            path,
            headers,
            body,
            () -> finish(context, finished));
    if (request.decoderResult().isFailure()) {
      boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
      ErrorKind kind = tooLong ? ErrorKind.TOO_LARGE : ErrorKind.INVALID_REQUEST;
      exchange.errorAndClose(kind);
      return;
    }
    if (queued.size() >= MAXIMUM_PIPELINED) {
      context.close();
      return;
    }
    queued.add(exchange);
    next();
  }

  private void finish(ChannelHandlerContext context, AtomicBoolean finished) {
    if (finished.compareAndSet(false, true)) {
      context
          .executor()
          .execute(
              () -> {
                busy = false;
                next();
              });
    }
  }

  private void next() {
    if (busy || queued.isEmpty()) {
      return;
    }
    busy = true;
    current = queued.poll();
    router.route(current);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    queued.clear();
    if (busy) {
      current.callerGone();
    }
    context.fireChannelInactive();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent && !busy) {
      context.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
