package org.baykeel.gateway.call;

import java.util.List;
import java.util.Optional;
import org.baykeel.gateway.admission.ProgramAdmission;
import org.baykeel.gateway.buffering.BodyBuffer;
import org.baykeel.gateway.buffering.ResponseBytesLimiter;
import org.baykeel.gateway.buffering.ResponseSource;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.directory.ServicePerformance;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * One send of a request to one engine. Reads the response, reports the outcome to its owner, and
 * records the times that it observes at the engine, unless reading was paused meanwhile. The owner
 * is not notified any more after {@link #close}.
 */
final class EngineAttempt implements EngineTransport.Listener, ResponseSource {
  private static final int MISDIRECTED = 421;
  private static final int MAX_EVENT_BYTES = 1 << 20;

  /** Why an engine did not run a request. */
  enum NotRun {
    /** The engine has no free slot. */
    FULL,
    /** The request reached another engine than the one it was meant for. */
    MISDIRECTED,
    /** Nothing was sent. */
    NOT_SENT
  }

  /**
   * Receives the progress and the outcome of the attempt; exactly one of the last six methods ends
   * it.
   */
  interface Owner {
    /** The number of requests with the same requirement that wait at this node. */
    int waitingForCapacity();

    /** Data arrived from the engine. */
    void onAttemptProgress();

    /** The head of a stream with the engine's signature arrived. */
    void onStreamHead(ResponseHead head);

    /** A complete event. */
    void onStreamEvent(StreamEvent event);

    /** The stream is complete. */
    void onStreamComplete();

    /** The engine did not run the request. */
    void onNotRun(NotRun reason, String outcome);

    /** The engine may have run the request, but its response is unusable. */
    void onBroken(String detail);

    /** The engine may have run the request, but its response exceeds a limit of bytes. */
    void onResponseTooLarge(String detail);

    /** The engine may have run the request, but the connection was lost before a whole response. */
    void onConnectionLost(String detail);

    /** A complete response that is not a stream. */
    void onWholeResponse(ResponseHead head, byte[] body);
  }

  private final Engine engine;
  private final List<PromptPart> prompt;
  private final int tokensPerEvent;
  private final EventLoop eventLoop;
  private final ProgramAdmission admission;
  private final Owner owner;
  private final EventStreamParser parser = new EventStreamParser();
  private final double expectedFirstEventMillis;
  private final int uncachedTokens;
  private final boolean continuation;
  private final long startedNanos;
  private final Optional<SoftwareVersion> softwareVersion;
  private EngineTransport.Exchange exchange;
  private ResponseHead head;
  private final ResponseBytesLimiter.Response heldBytes;
  private BodyBuffer body;
  private long lastEventNanos;
  private int events;
  private boolean wasPaused;
  private boolean awaitingFirstEvent;
  private boolean closed;

  EngineAttempt(
      Engine engine,
      List<PromptPart> prompt,
      int tokensPerEvent,
      EventLoop eventLoop,
      ProgramAdmission admission,
      ResponseBytesLimiter responseBytes,
      Owner owner) {
    this.engine = engine;
    this.prompt = prompt;
    this.tokensPerEvent = tokensPerEvent;
    this.eventLoop = eventLoop;
    this.admission = admission;
    this.owner = owner;
    this.expectedFirstEventMillis = engine.expectedFirstEventMillis(prompt);
    this.uncachedTokens = engine.cachedPrefixes().uncachedTokens(prompt);
    this.continuation = engine.cachedPrefixes().containsOwnPart(prompt);
    this.startedNanos = eventLoop.nanoTime();
    this.softwareVersion = engine.record().softwareVersion();
    this.heldBytes = responseBytes.open(engine.record().id(), this::onLimitExceeded);
  }

  void send(EngineTransport transport, EngineRequest request) {
    engine.requestStarted(startedNanos);
    engine.capacity().sent(startedNanos);
    awaitingFirstEvent = !prompt.isEmpty();
    if (awaitingFirstEvent) {
      admission.requestSent(engine.record().service(), startedNanos);
    }
    exchange = transport.send(engine, request, this);
  }

  Engine engine() {
    return engine;
  }

  ConnectionUse connectionUse() {
    return exchange.connectionUse();
  }

  /** Whether nothing of the request is held for the engine any more. */
  boolean isRequestWritten() {
    return exchange.isRequestWritten();
  }

  /** The engine's signature of the response, or null. */
  String signature() {
    return head == null ? null : head.traits().signature();
  }

  /** The version of the engine's software when the attempt was created, if it was known. */
  Optional<SoftwareVersion> softwareVersion() {
    return softwareVersion;
  }

  long startedNanos() {
    return startedNanos;
  }

  @Override
  public void pause() {
    if (!closed) {
      wasPaused = true;
      exchange.pauseReading();
    }
  }

  @Override
  public void resume() {
    if (!closed) {
      exchange.resumeReading();
    }
  }

  void cancel() {
    exchange.cancel();
  }

  void close() {
    closed = true;
    heldBytes.close();
    engine.requestEnded(startedNanos);
    endWait();
  }

  private void endWait() {
    if (awaitingFirstEvent) {
      awaitingFirstEvent = false;
      admission.requestWaitEnded(engine.record().service(), startedNanos);
    }
  }

  @Override
  public void onHead(ResponseHead responseHead) {
    if (closed) {
      return;
    }
    head = responseHead;
    owner.onAttemptProgress();
    ResponseTraits traits = head.traits();
    if (head.status() == MISDIRECTED || traits.notExecuted()) {
      onNotExecuted();
    } else if (head.success() && !traits.signed()) {
      exchange.cancel();
      owner.onBroken("success response without signature");
    } else if (head.success() && traits.eventStream()) {
      owner.onStreamHead(head);
    } else {
      body = new BodyBuffer();
    }
  }

  private void recordFull() {
    ServicePerformance performance = engine.performance();
    double responseMillis =
        prompt.isEmpty() ? performance.nonStreamMillis() : performance.streamMillis();
    engine
        .capacity()
        .reportedFull(
            responseMillis,
            engine.record().slots(),
            owner.waitingForCapacity(),
            eventLoop.nanoTime());
  }

  private void onNotExecuted() {
    boolean misdirected = head.status() == MISDIRECTED;
    if (misdirected) {
      engine.failed(eventLoop.nanoTime());
    } else {
      recordFull();
    }
    owner.onNotRun(misdirected ? NotRun.MISDIRECTED : NotRun.FULL, "not_executed_" + head.status());
  }

  @Override
  public void onBody(byte[] bytes) {
    if (closed) {
      return;
    }
    owner.onAttemptProgress();
    if (body != null) {
      body.add(bytes);
      heldBytes.hold(body.countedBytes());
      return;
    }
    parser.add(bytes, this::onEvent);
    if (closed) {
      return;
    }
    if (parser.pendingBytes() > MAX_EVENT_BYTES) {
      onLimitExceeded("event exceeds " + MAX_EVENT_BYTES + " bytes");
    } else {
      heldBytes.hold(parser.pendingBytes());
    }
  }

  private void onLimitExceeded(String detail) {
    exchange.cancel();
    owner.onResponseTooLarge(detail);
  }

  private void onEvent(StreamEvent event) {
    if (closed) {
      return;
    }
    long nowNanos = eventLoop.nanoTime();
    if (events == 0) {
      recordFirstEvent(nowNanos);
    } else if (!wasPaused) {
      engine.observeInterEventTime((nowNanos - lastEventNanos) / 1e6);
    }
    lastEventNanos = nowNanos;
    events++;
    owner.onStreamEvent(event);
  }

  private void recordFirstEvent(long nowNanos) {
    endWait();
    engine.cachedPrefixes().add(prompt);
    if (wasPaused) {
      return;
    }
    double firstMillis = (nowNanos - startedNanos) / 1e6;
    engine.performance().observeFirstEvent(uncachedTokens, firstMillis);
    if (continuation) {
      engine.performance().observeNewTokens(uncachedTokens);
    }
    double waitMillis = firstMillis - expectedFirstEventMillis;
    engine.observeWait(waitMillis, nowNanos);
    admission.observeWait(engine.record().service(), waitMillis, nowNanos);
  }

  @Override
  public void onComplete() {
    if (closed) {
      return;
    }
    engine.capacity().responseReceived(eventLoop.nanoTime());
    if (body != null) {
      if (!wasPaused) {
        engine.performance().observeNonStream((eventLoop.nanoTime() - startedNanos) / 1e6);
      }
      owner.onWholeResponse(head, body.take());
    } else if (parser.midEvent()) {
      owner.onConnectionLost("stream ended within an event");
    } else {
      engine.succeeded();
      engine.performance().observeEvents(events);
      engine.cachedPrefixes().extend(prompt, events * tokensPerEvent);
      owner.onStreamComplete();
    }
  }

  @Override
  public void onFailure(EngineTransport.Failure failure, String detail) {
    if (closed) {
      return;
    }
    switch (failure) {
      case NOT_SENT -> {
        engine.failed(eventLoop.nanoTime());
        owner.onNotRun(NotRun.NOT_SENT, "not_sent " + detail);
      }
      case CONNECTION_LOST -> owner.onConnectionLost(detail);
      case BROKEN -> owner.onBroken(detail);
      case TOO_LARGE -> owner.onResponseTooLarge(detail);
    }
  }
}
