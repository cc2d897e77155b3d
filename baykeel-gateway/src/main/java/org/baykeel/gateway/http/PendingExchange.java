package org.baykeel.gateway.http;

import io.netty.handler.codec.http.FullHttpRequest;
import org.baykeel.gateway.call.ConnectionUse;
import org.baykeel.gateway.call.EngineTransport;
import org.baykeel.gateway.call.ResponseHead;

/** A request sent to one engine, with the listener for its response. */
final class PendingExchange implements EngineTransport.Exchange {
  private final String requestId;
  private FullHttpRequest request;
  private final EngineTransport.Listener listener;
  private final SilenceListener onSilence;
  private EngineConnection connection;
  private ConnectionUse connectionUse = ConnectionUse.NONE;
  private boolean paused;
  private boolean cancelled;
  private boolean ended;

  /** Is notified of reused connections that stayed silent. */
  interface SilenceListener {
    /**
     * Called when a request was cancelled on a silent connection.
     *
     * @param pool the pool of the engine
     * @param millis the time without a byte, in milliseconds
     */
    void onSilent(EngineConnectionPool pool, long millis);
  }

  PendingExchange(
      String requestId,
      FullHttpRequest request,
      EngineTransport.Listener listener,
      SilenceListener onSilence) {
    this.requestId = requestId;
    this.request = request;
    this.listener = listener;
    this.onSilence = onSilence;
  }

  String requestId() {
    return requestId;
  }

  /**
   * Returns the request, which is not held any more; must be called once, before a cancellation.
   */
  FullHttpRequest takeRequest() {
    FullHttpRequest taken = request;
    request = null;
    return taken;
  }

  void attach(EngineConnection engineConnection, ConnectionUse use) {
    connection = engineConnection;
    connectionUse = use;
    if (paused) {
      connection.pauseReading();
    }
  }

  void responseSkipped() {
    connectionUse = connectionUse.withSkippedResponse();
  }

  boolean cancelled() {
    return cancelled;
  }

  @Override
  public void cancel() {
    cancelled = true;
    request = null;
    if (connection != null && !ended) {
      long silentMillis = connection.abandon();
      if (silentMillis > 0) {
        onSilence.onSilent(connection.pool(), silentMillis);
      }
    }
  }

  @Override
  public ConnectionUse connectionUse() {
    return connectionUse;
  }

  @Override
  public boolean isRequestWritten() {
    return connection != null && (ended || connection.isRequestWritten());
  }

  @Override
  public void pauseReading() {
    paused = true;
    if (connection != null && !ended) {
      connection.pauseReading();
    }
  }

  @Override
  public void resumeReading() {
    paused = false;
    if (connection != null && !ended) {
      connection.resumeReading();
    }
  }

  void head(ResponseHead head) {
    if (!cancelled) {
      listener.onHead(head);
    }
  }

  void body(byte[] bytes) {
    if (!cancelled) {
      listener.onBody(bytes);
    }
  }

  void complete() {
    if (!ended && !cancelled) {
      ended = true;
      listener.onComplete();
    }
    ended = true;
  }

  void fail(EngineTransport.Failure failure, String detail) {
    request = null;
    if (!ended && !cancelled) {
      ended = true;
      listener.onFailure(failure, detail);
    }
    ended = true;
  }
}
