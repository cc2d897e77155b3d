package org.baykeel.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.buffering.BodyBuffer;
import org.baykeel.gateway.buffering.CallerFlow;
import org.baykeel.gateway.buffering.RequestBytesLimiter;
import org.baykeel.gateway.call.CallAttributes;
import org.baykeel.gateway.call.CallCoordinator;
import org.baykeel.gateway.call.CallRequest;
import org.baykeel.gateway.call.CallResponder;
import org.baykeel.gateway.call.ClientCall;
import org.baykeel.gateway.call.GatewayState;
import org.baykeel.gateway.call.Refusal;
import org.baykeel.gateway.call.ResponseHead;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics.RequestRejection;

/** A caller's connection: reads one request at a time and writes its response. */
final class IngressConnection extends ChannelInboundHandlerAdapter implements CallResponder {
  /** Size of the parts of a long response; each is counted as delivered on its own. */
  private static final int PART_BYTES = 1 << 16;

  /** The time that a body may take in addition to that of its bytes. */
  private static final long BODY_MILLIS = 10_000;

  /** The lowest rate, in bytes per second, at which a body is received. */
  private static final long MIN_BODY_RATE = 1_024;

  private static final long MILLIS_PER_SECOND = 1_000;

  /** The time after which a caller may return that was refused for lack of memory. */
  private static final long MEMORY_RETRY_MILLIS = 1_000;

  private final IngressServer server;
  private final CallCoordinator coordinator;
  private final CallTranslator translator;
  private final GatewayState state;
  private final GatewayLog log;
  private final CallerFlow flow;
  private final RequestBytesLimiter.Request memory;
  private final RequestFramer framer;
  private ChannelHandlerContext context;
  private DeferredFlush eventFlush;
  private HttpRequest head;
  private CallAttributes attributes;
  private BodyBuffer body;
  private ClientCall call;
  private boolean responding;
  private boolean keepAlive = true;
  private boolean discarding;
  private final long acceptedNanos = System.nanoTime();
  private long lastActivityNanos = acceptedNanos;
  private long requestNanos = acceptedNanos;
  private int requests;

  /** For how long the request in progress is being received, in sweeps of the server. */
  private int sweepsReceiving;

  private Activity activityAtClose = Activity.NONE;

  /** What keeps a connection open when idle connections are closed. */
  private enum Activity {
    /** Nothing, or the connection did not exist then. */
    NONE,
    /** A request is being received. */
    REQUEST,
    /** A response is in progress. */
    RESPONSE,
    /** The caller has not read all of a response. */
    UNREAD
  }

  IngressConnection(
      IngressServer server,
      CallCoordinator coordinator,
      CallTranslator translator,
      GatewayState state,
      GatewayLog log) {
    this.server = server;
    this.coordinator = coordinator;
    this.translator = translator;
    this.state = state;
    this.log = log;
    this.flow = server.held().open(this::closeSlowCaller);
    this.memory = server.requests().open(this::onMemoryLimit);
    this.framer =
        new RequestFramer(server.maxHeadBytes(), memory, IngressServer.RECEIVE_BUFFER_BYTES);
  }

  /** Returns the framer of this connection, which stands before the decoder in the pipeline. */
  RequestFramer framer() {
    return framer;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    context = handlerContext;
    eventFlush =
        new DeferredFlush(
            handlerContext.executor(), handlerContext::flush, this::countUntilDelivered);
  }

  /** Returns whether a request is in progress or the caller has not read all of a response. */
  boolean active() {
    return activity() != Activity.NONE;
  }

  private Activity activity() {
    if (responding) {
      return Activity.RESPONSE;
    }
    if (head != null) {
      return Activity.REQUEST;
    }
    return flow.held() > 0 ? Activity.UNREAD : Activity.NONE;
  }

  /** Closes the connection if it is idle between two requests. */
  void closeIfIdle() {
    activityAtClose = activity();
    if (activityAtClose == Activity.NONE) {
      context.close();
    }
  }

  /** Ends the request in progress since the process is about to end. */
  void endForStop() {
    if (call != null) {
      call.endForStop();
    } else if (head != null && !responding && !discarding) {
      refuseAndClose(
          RequestRejection.STOPPING,
          ErrorKind.STOPPING,
          "node stops before the request was received");
    }
  }

  /**
   * Logs the request in progress, which the end of the process ends.
   *
   * @param stopNanos when the stop began
   */
  void logCall(long stopNanos) {
    log.write(
        GatewayEvent.CALL_CUT,
        "id",
        attributes == null ? "" : attributes.requestId(),
        "activity",
        activity().name().toLowerCase(Locale.ROOT),
        "received_ms",
        (requestNanos - stopNanos) / 1_000_000,
        "connected_ms",
        (acceptedNanos - stopNanos) / 1_000_000,
        "requests",
        requests,
        "at_close",
        activityAtClose.name().toLowerCase(Locale.ROOT));
  }

  private void closeSlowCaller(long held, long nodeHeld, long unreadMillis) {
    log.write(
        GatewayEvent.CALLER_TOO_SLOW,
        "id",
        attributes == null ? "" : attributes.requestId(),
        "held",
        held,
        "node_held",
        nodeHeld,
        "unread_ms",
        unreadMillis);
    context.close();
  }

  /** Whether nothing is received, and nothing is in progress. */
  boolean idle() {
    return activity() == Activity.NONE && (discarding || !framer.isInHead());
  }

  /** Closes the connection to make room for another one. */
  void closeForAnother() {
    context.close();
  }

  /**
   * Closes the connection if it is idle, or its request incomplete, for too long. Called regularly;
   * the time of a request is counted in calls, so that a pause of the process is not charged to the
   * caller.
   */
  void closeIfStalled(long now, RequestLimits limits) {
    if (responding) {
      return;
    }
    long idleMillis = (now - lastActivityNanos) / 1_000_000;
    if (discarding || head == null && !framer.isInHead()) {
      sweepsReceiving = 0;
      if (idleMillis > limits.idleTimeoutMillis()) {
        context.close();
      }
      return;
    }
    sweepsReceiving++;
    long receivingMillis = sweepsReceiving * IngressServer.SWEEP_MILLIS;
    if (head == null && receivingMillis > limits.headerTimeoutMillis()) {
      closeSlow(RequestRejection.HEAD_TOO_SLOW);
    } else if (head != null
        && (idleMillis > limits.headerTimeoutMillis() || receivingMillis > bodyMillis())) {
      closeSlow(RequestRejection.BODY_TOO_SLOW);
    }
  }

  /** The time that the body may have taken so far. */
  private long bodyMillis() {
    return BODY_MILLIS + body.length() * MILLIS_PER_SECOND / MIN_BODY_RATE;
  }

  private void closeSlow(RequestRejection cause) {
    server.rejections().rejected(cause, 0, "request was not received in time");
    stopReading();
    context.close();
  }

  // Reading of requests.

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) {
    lastActivityNanos = System.nanoTime();
    try {
      if (!discarding && message instanceof HttpObject object) {
        read(object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      refuseMalformed(String.valueOf(object.decoderResult().cause().getMessage()));
      return;
    }
    if (object instanceof HttpRequest request) {
      beginRequest(request);
    }
    if (object instanceof HttpContent content && !discarding && head != null) {
      addContent(content);
    }
  }

  private void beginRequest(HttpRequest request) {
    head = request;
    requestNanos = System.nanoTime();
    requests++;
    body = new BodyBuffer();
    keepAlive = HttpUtil.isKeepAlive(request) && framer.isHeadUsual();
    attributes = null;
    if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      refuseAndClose(
          RequestRejection.MALFORMED,
          ErrorKind.INVALID_REQUEST,
          "expected exactly one host header");
      return;
    }
    long length = HttpUtil.getContentLength(request, 0L);
    if (length > server.limits().maxBodyBytes()) {
      refuseBody();
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      if (!server.requests().hasRoomFor(length)) {
        refuseForMemory();
        return;
      }
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void addContent(HttpContent content) {
    int length = content.content().readableBytes();
    if (body.length() + length > server.limits().maxBodyBytes()) {
      refuseBody();
      return;
    }
    if (length > 0) {
      memory.holdBody(body.countedBytes() + length);
      if (discarding) {
        // The request was given up for lack of memory.
        return;
      }
      byte[] bytes = new byte[length];
      content.content().readBytes(bytes);
      body.add(bytes);
    }
    if (content instanceof LastHttpContent) {
      startCall();
    }
  }

  private void startCall() {
    HttpRequest request = head;
    try {
      attributes = translator.attributes(request.headers());
    } catch (BaykeelException e) {
      refuseAndClose(RequestRejection.MALFORMED, e.kind(), e.getMessage());
      return;
    }
    responding = true;
    memory.complete();
    CallRequest callRequest =
        new CallRequest(
            request.method().name(),
            request.uri(),
            request.headers().get(HttpHeaderNames.HOST),
            request.headers(),
            body.take(),
            attributes,
            System.nanoTime());
    body = null;
    ClientCall started =
        coordinator.accept(callRequest, new OneResponse(this, attributes.requestId(), log));
    if (responding) {
      call = started;
    }
  }

  private void refuseMalformed(MalformedMessageException cause) {
    switch (cause.kind()) {
      case HEAD_TOO_LARGE -> refuseHead();
      case FRAMING_TOO_LARGE ->
          refuseAndClose(
              RequestRejection.CHUNKS_TOO_SMALL, ErrorKind.TOO_LARGE, cause.getMessage());
      default -> refuseMalformed(cause.getMessage());
    }
  }

  private void refuseMalformed(String detail) {
    head = null;
    refuseAndClose(RequestRejection.MALFORMED, ErrorKind.INVALID_REQUEST, detail);
  }

  private void refuseHead() {
    HttpResponseStatus status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    server
        .rejections()
        .rejected(RequestRejection.HEAD_TOO_LARGE, status.code(), "head exceeds the limit");
    head = null;
    stopReading();
    writeEmpty(status);
  }

  private void refuseBody() {
    refuseAndClose(
        RequestRejection.BODY_TOO_LARGE, ErrorKind.TOO_LARGE, "request body exceeds the limit");
  }

  /** Drops what was received of the request, and all that follows. */
  private void stopReading() {
    discarding = true;
    body = null;
    framer.stop();
    memory.close();
  }

  /**
   * Gives the request up, which was not received completely, or the requests behind the one in
   * progress.
   */
  private void onMemoryLimit() {
    if (responding) {
      server.rejections().rejected(RequestRejection.NO_MEMORY, 0, "requests behind another one");
      keepAlive = false;
      framer.stop();
    } else if (!discarding) {
      refuseForMemory();
    }
  }

  private void refuseForMemory() {
    refuseAndClose(
        RequestRejection.NO_MEMORY,
        new Refusal(ErrorKind.OVERLOADED, MEMORY_RETRY_MILLIS, "memory for requests is used up"));
  }

  private void writeEmpty(HttpResponseStatus status) {
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    HttpUtil.setContentLength(response, 0);
    HttpUtil.setKeepAlive(response, false);
    context.write(response);
    LingeringClose.begin(context.channel());
  }

  private void refuseAndClose(RequestRejection cause, ErrorKind kind, String detail) {
    refuseAndClose(cause, Refusal.of(kind, detail));
  }

  private void refuseAndClose(RequestRejection cause, Refusal refusal) {
    server.rejections().rejected(cause, refusal.kind().httpStatus(), refusal.detail());
    keepAlive = false;
    stopReading();
    refuse(refusal);
    LingeringClose.begin(context.channel());
  }

  // Writing of responses.

  @Override
  public CallerFlow flow() {
    return flow;
  }

  /** Counts bytes as held until their write completes, unless it already has. */
  private void countUntilDelivered(ChannelFuture written, int bytes) {
    if (written.isDone()) {
      return;
    }
    flow.hold(bytes);
    written.addListener(
        completed -> {
          lastActivityNanos = System.nanoTime();
          flow.delivered(bytes);
          if (server.closing() && !active() && framer.pendingBytes() == 0) {
            context.close();
          }
        });
  }

  @Override
  public void refuse(Refusal refusal) {
    byte[] text = (refusal.kind().summary() + "\n").getBytes(StandardCharsets.UTF_8);
    HttpResponse response =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(refusal.kind().httpStatus()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
    translator.addRefusalHeaders(response.headers(), refusal, attributes);
    writeWhole(response, text);
  }

  @Override
  public void respond(ResponseHead responseHead, byte[] bytes) {
    HttpResponse response =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(responseHead.status()));
    response.headers().add(responseHead.headers());
    writeWhole(response, bytes);
  }

  private void writeWhole(HttpResponse response, byte[] bytes) {
    HttpUtil.setContentLength(response, bytes.length);
    boolean keep = prepareConnection(response.headers());
    context.write(response);
    List<ChannelFuture> parts = new ArrayList<>();
    for (int from = 0; from < bytes.length; from += PART_BYTES) {
      int length = Math.min(PART_BYTES, bytes.length - from);
      parts.add(context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes, from, length))));
    }
    context.write(LastHttpContent.EMPTY_LAST_CONTENT);
    finishResponse(keep);
    for (int i = 0; i < parts.size(); i++) {
      countUntilDelivered(parts.get(i), Math.min(PART_BYTES, bytes.length - i * PART_BYTES));
    }
  }

  @Override
  public void startStream(ResponseHead responseHead) {
    HttpResponse response =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(responseHead.status()));
    response.headers().add(responseHead.headers());
    HttpUtil.setTransferEncodingChunked(response, true);
    keepAlive = prepareConnection(response.headers());
    context.write(response);
  }

  @Override
  public void sendEvent(byte[] bytes) {
    HttpContent content = new DefaultHttpContent(Unpooled.wrappedBuffer(bytes));
    eventFlush.written(context.write(content), bytes.length);
  }

  @Override
  public void endStream() {
    context.write(LastHttpContent.EMPTY_LAST_CONTENT);
    eventFlush.flushNow();
    finishResponse(keepAlive);
  }

  @Override
  public void abortStream() {
    responding = false;
    call = null;
    discarding = true;
    eventFlush.flushNow();
    context.close();
  }

  private boolean prepareConnection(HttpHeaders headers) {
    boolean keep = keepAlive && state.ready();
    if (!keep) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return keep;
  }

  private void finishResponse(boolean keep) {
    responding = false;
    call = null;
    head = null;
    sweepsReceiving = 0;
    lastActivityNanos = System.nanoTime();
    memory.end();
    if (discarding) {
      // The request was refused before it was read completely; the refusing method closes the
      // connection.
      return;
    }
    // Whether the connection may stay open was decided at the head of a stream; a stop can have
    // begun since.
    boolean closesNow = server.closing() && framer.pendingBytes() == 0;
    if (!keep || closesNow) {
      discarding = true;
      context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    context.flush();
    framer.next();
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    server.closed(this);
    flow.close();
    memory.close();
    ClientCall abandoned = call;
    call = null;
    responding = false;
    if (abandoned != null) {
      abandoned.callerDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    if (cause instanceof MalformedMessageException malformed) {
      if (!discarding) {
        refuseMalformed(malformed);
      }
      return;
    }
    if (!(cause instanceof java.io.IOException)) {
      log.write(GatewayEvent.FAULT, "where", "caller connection", "error", cause.toString());
    }
    context.close();
  }
}
