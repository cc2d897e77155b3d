package org.baykeel.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.baykeel.gateway.call.ConnectionUse;
import org.baykeel.gateway.call.EngineTransport.Failure;
import org.baykeel.gateway.call.ResponseHead;
import org.baykeel.gateway.call.ResponseTraits;

/**
 * A connection to an engine, with at most one request at a time. It is reused only after a complete
 * response to its own request with no further bytes behind it. A response to another request is
 * skipped, and the connection is then not reused.
 *
 * <p>An engine may send a second response to a request later on the same connection, and a response
 * names its request but not the send. The connection therefore carries a request with a given
 * identifier at most once, whichever call sends it: a response with the identifier of the request
 * in progress can only belong to this send.
 */
final class EngineConnection extends ChannelInboundHandlerAdapter {
  private static final long DEFAULT_IDLE_MILLIS = 1_000;
  private static final long IDLE_MARGIN_MILLIS = 400;

  /**
   * The time without a byte after which a cancelled request makes its reused connection count as
   * silent. Callers that disconnect sooner give no evidence about the connection.
   */
  private static final long MIN_SILENT_NANOS = 500_000_000L;

  private final EngineConnectionPool pool;
  private final CallTranslator translator;
  private final UnrelatedResponseLog unrelatedResponses;
  private final long number;
  private final CarriedRequests carried = new CarriedRequests();
  private final ResponseFramer framer = new ResponseFramer();
  private int exchanges;
  private Channel channel;
  private PendingExchange current;
  private ChannelFuture written;

  /**
   * The most interim responses, and responses to other requests, before the response to a request.
   */
  private static final int MAX_OTHER_RESPONSES = 16;

  /** The most bytes of them; a response to another request may be as large as an own one. */
  private static final long MAX_OTHER_BYTES = 8 << 20;

  /** Whether the responses so far allow another request on this connection. */
  private boolean reusable = true;

  /** Whether the connection returns to the pool when the current read is complete. */
  private boolean releasable;

  private boolean responseStarted;

  private boolean skipping;
  private boolean informational;
  private boolean reused;
  private boolean readingPaused;
  private boolean connected;
  private boolean closeRecorded;

  /** Whether this node closes the connection. */
  private boolean closing;

  private long idleMillis = DEFAULT_IDLE_MILLIS;
  private long idleUntilNanos;
  private long sentNanos;
  private int otherResponses;
  private long otherBytes;
  private String failure = "connection closed before the end of the response";

  /**
   * Creates a connection that is not open yet.
   *
   * @param unrelatedResponses the log of responses that belong to no request in progress
   * @param number its number among all connections of the transport, from 1
   */
  EngineConnection(
      EngineConnectionPool pool,
      CallTranslator translator,
      UnrelatedResponseLog unrelatedResponses,
      long number) {
    this.pool = pool;
    this.translator = translator;
    this.unrelatedResponses = unrelatedResponses;
    this.number = number;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    connected = true;
    pool.onConnected();
    context.fireChannelActive();
  }

  boolean connected() {
    return connected;
  }

  boolean usable(long nowNanos) {
    return channel.isActive() && nowNanos - idleUntilNanos < 0;
  }

  /** Returns the framer of this connection, which stands before the decoder in the pipeline. */
  ResponseFramer framer() {
    return framer;
  }

  /** Whether a request with the identifier may have been sent on the connection. */
  boolean hasCarried(String requestId) {
    return carried.contains(requestId);
  }

  /** Records that the connection is closed and returns whether this is the first call. */
  boolean markClosed() {
    boolean first = !closeRecorded;
    closeRecorded = true;
    return first;
  }

  void close() {
    closing = true;
    channel.close();
  }

  /**
   * Abandons the current request and closes the connection.
   *
   * @return the milliseconds without a byte if the connection was reused and counts as silent, else
   *     0
   */
  long abandon() {
    long nanos = System.nanoTime() - sentNanos;
    boolean silent =
        reused
            && !readingPaused
            && current != null
            && !responseStarted
            && nanos >= MIN_SILENT_NANOS;
    close();
    return silent ? nanos / 1_000_000 : 0;
  }

  void pauseReading() {
    readingPaused = true;
    channel.config().setAutoRead(false);
  }

  void resumeReading() {
    channel.config().setAutoRead(true);
  }

  EngineConnectionPool pool() {
    return pool;
  }

  void send(PendingExchange exchange) {
    current = exchange;
    carried.add(exchange.requestId());
    responseStarted = false;
    readingPaused = false;
    otherResponses = 0;
    otherBytes = 0;
    exchange.attach(this, new ConnectionUse(number, ++exchanges, 0));
    sentNanos = System.nanoTime();
    FullHttpRequest request = exchange.takeRequest();
    int bodyBytes = request.content().readableBytes();
    written = channel.writeAndFlush(request);
    framer.requestSent(written, bodyBytes);
  }

  /** Whether the operating system has the whole request in progress. */
  boolean isRequestWritten() {
    return written.isDone();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpObject object) {
        read(object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(HttpObject object) {
    if (closing) {
      // Objects that were decoded from the same bytes still arrive after the close.
      return;
    }
    if (object.decoderResult().isFailure()) {
      failure = "response is not valid HTTP";
      close();
      return;
    }
    if (current == null) {
      // Bytes after a complete response belong to no request.
      readUnexpected(object);
      return;
    }
    if (object instanceof HttpResponse response) {
      readHead(response);
    }
    if (object instanceof HttpContent content) {
      readContent(content);
    }
  }

  private void readUnexpected(HttpObject object) {
    if (object instanceof HttpResponse response) {
      unrelatedResponses.unexpected(
          pool.engine(), number, exchanges, response.status(), translator.responseTraits(response));
    }
    releasable = false;
    close();
  }

  private void readHead(HttpResponse response) {
    if (ResponseHeads.holdsSecondStatusLine(response)) {
      failure = "heads of two responses in one";
      close();
      return;
    }
    if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      // What follows is not decoded any more.
      failure = "response changes the protocol";
      close();
      return;
    }
    if (response.status().code() < 200) {
      informational = true;
      countOtherResponse();
      return;
    }
    ResponseTraits traits = translator.responseTraits(response);
    boolean named = traits.requestId() != null && !traits.requestId().isEmpty();
    if (named && !current.requestId().equals(traits.requestId())) {
      skip(response, traits);
      return;
    }
    if (!named) {
      readNameless(response, traits);
      return;
    }
    if (response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
      // Callers ask for no encoding, so that the body is not that of the engine.
      failure = "response has a content encoding";
      close();
      return;
    }
    responseStarted = true;
    boolean framed =
        HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
    reusable = reusable && framed && HttpUtil.isKeepAlive(response);
    readKeepAlive(response.headers().get("Keep-Alive"));
    current.head(
        new ResponseHead(
            response.status().code(), HopByHopHeaders.copyWithout(response.headers()), traits));
  }

  /**
   * Reads a response that names no request. A success without a signature is never passed on, so
   * the response to this send may still follow. Any other one ends the exchange: if it were
   * skipped, a second response to this send would be taken for the first, and if it were taken, a
   * statement that another request did not run would count for this one.
   */
  private void readNameless(HttpResponse response, ResponseTraits traits) {
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (success && !traits.signed()) {
      skip(response, traits);
      return;
    }
    unrelatedResponses.skipped(pool.engine(), current, response.status(), traits);
    failure = "response names no request";
    close();
  }

  private void skip(HttpResponse response, ResponseTraits traits) {
    skipping = true;
    reusable = false;
    current.responseSkipped();
    unrelatedResponses.skipped(pool.engine(), current, response.status(), traits);
    countOtherResponse();
  }

  private void countOtherResponse() {
    otherResponses++;
    endBeyondLimits();
  }

  private void countOtherBytes(int bytes) {
    otherBytes += bytes;
    endBeyondLimits();
  }

  private void endBeyondLimits() {
    if (otherResponses > MAX_OTHER_RESPONSES || otherBytes > MAX_OTHER_BYTES) {
      failure = "too many bytes that belong to no request";
      failCurrent(Failure.TOO_LARGE);
      close();
    }
  }

  private void readKeepAlive(String keepAlive) {
    if (keepAlive == null) {
      return;
    }
    int at = keepAlive.indexOf("timeout=");
    if (at < 0) {
      return;
    }
    int end = at + "timeout=".length();
    long seconds = 0;
    while (end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end))) {
      seconds = seconds * 10 + Character.digit(keepAlive.charAt(end++), 10);
    }
    idleMillis = Math.max(0, seconds * 1_000 - IDLE_MARGIN_MILLIS);
  }

  private void readContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (informational || skipping) {
      countOtherBytes(content.content().readableBytes());
      informational &= !last;
      skipping &= !last;
      return;
    }
    if (!responseStarted) {
      return;
    }
    int length = content.content().readableBytes();
    if (length > 0) {
      byte[] bytes = new byte[length];
      content.content().readBytes(bytes);
      current.body(bytes);
    }
    if (last && current != null) {
      completeResponse();
    }
  }

  private void completeResponse() {
    PendingExchange completed = current;
    current = null;
    reused = true;
    // An idle connection has to read in order to detect that the engine closes it.
    resumeReading();
    // If the response came before the whole request was written, the rest is still to be sent and
    // the connection cannot be reused.
    releasable =
        reusable
            && !carried.isFull()
            && written.isDone()
            && channel.isActive()
            && !completed.cancelled();
    if (!releasable) {
      close();
    }
    completed.complete();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (current == null && !closing && !framer.isAtBoundary()) {
      // A part of a response would become the beginning of the next one.
      unrelatedResponses.partial(pool.engine(), number, exchanges);
      releasable = false;
      close();
    }
    if (releasable) {
      releasable = false;
      idleUntilNanos = System.nanoTime() + idleMillis * 1_000_000;
      pool.release(this);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pool.onClosed(this);
    failCurrent(closing ? Failure.BROKEN : Failure.CONNECTION_LOST);
  }

  private void onMalformed(String violation) {
    if (current == null && !closing) {
      unrelatedResponses.partial(pool.engine(), number, exchanges);
    }
    releasable = false;
    failure = "response is not valid HTTP: " + violation;
    failCurrent(Failure.BROKEN);
    close();
  }

  private void failCurrent(Failure kind) {
    if (current != null) {
      PendingExchange broken = current;
      current = null;
      broken.fail(kind, failure + (reused ? ", on a reused connection" : ", on a new connection"));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof MalformedMessageException) {
      onMalformed(cause.getMessage());
      return;
    }
    failure = String.valueOf(cause.getMessage());
    failCurrent(cause instanceof IOException ? Failure.CONNECTION_LOST : Failure.BROKEN);
    close();
  }
}
