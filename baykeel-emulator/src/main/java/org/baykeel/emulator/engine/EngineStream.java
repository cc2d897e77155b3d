package org.baykeel.emulator.engine;

import static java.util.Objects.requireNonNull;

/** One sequence in an emulated engine. */
public final class EngineStream {
  /** Receives a stream's tokens. */
  public interface Listener {
    /** One token more. */
    void onToken(EngineStream stream, String token);

    /** The answer is whole. */
    void onFinished(EngineStream stream);
  }

  private final EngineRequest request;
  private final long arrivedMicros;
  private final long textSeed;
  private final StringBuilder text = new StringBuilder();
  private Listener listener;
  private int cachedTokens;
  private int prefillLeft;
  private int generated;
  private boolean admitted;
  private boolean finished;
  private boolean cancelled;

  EngineStream(EngineRequest request, Listener listener, long textSeed, long arrivedMicros) {
    this.request = requireNonNull(request, "request");
    this.listener = requireNonNull(listener, "listener");
    this.textSeed = textSeed;
    this.arrivedMicros = arrivedMicros;
    this.prefillLeft = request.promptTokens();
    this.generated = request.continuedTokens();
  }

  /** The request. */
  public EngineRequest request() {
    return request;
  }

  /** What has been generated, without the continued text. */
  public String text() {
    return text.toString();
  }

  /** Tokens of the prompt that were found in the cache. */
  public int cachedTokens() {
    return cachedTokens;
  }

  /** Tokens of the whole answer so far. */
  public int generatedTokens() {
    return generated;
  }

  /** True once the answer is whole. */
  public boolean isFinished() {
    return finished;
  }

  /** True if the stream was cancelled. */
  public boolean isCancelled() {
    return cancelled;
  }

  /** Sends the tokens from here on to another listener. */
  public void listen(Listener newListener) {
    listener = requireNonNull(newListener, "newListener");
  }

  long arrivedMicros() {
    return arrivedMicros;
  }

  boolean isAdmitted() {
    return admitted;
  }

  void admit(int tokensInCache) {
    admitted = true;
    cachedTokens = tokensInCache;
    prefillLeft = Math.max(1, request.promptTokens() - tokensInCache);
  }

  /** The stream is put back into the queue; its generated tokens must be read again. */
  void preempt() {
    admitted = false;
    prefillLeft = request.promptTokens() + generated - request.continuedTokens();
  }

  int prefillLeft() {
    return prefillLeft;
  }

  void prefill(int tokens) {
    prefillLeft -= tokens;
  }

  void cancel() {
    cancelled = true;
  }

  /** Generates one token; returns true if it was the last. */
  boolean generate() {
    String token = AnswerText.token(request.promptDigest(), textSeed, generated);
    text.append(token);
    generated++;
    finished = generated >= request.maximumTokens();
    listener.onToken(this, token);
    if (finished) {
      listener.onFinished(this);
    }
    return finished;
  }
}
