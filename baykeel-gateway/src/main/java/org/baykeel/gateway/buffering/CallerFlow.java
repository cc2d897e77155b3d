package org.baykeel.gateway.buffering;

/**
 * What is held for one caller: bytes that were written to its connection and that it has not read,
 * and events that wait for their grant. One for each connection, which carries one call at a time;
 * what is left of an answer stays counted after its call.
 */
public final class CallerFlow {
  private final HeldBytesLimiter limiter;
  private final SlowCallerListener listener;
  private ResponseSource source = ResponseSource.NONE;
  private long held;
  private long unreadSinceNanos;
  private boolean paused;
  private boolean closed;

  /** Ends the connection of a caller that is given up. */
  @FunctionalInterface
  public interface SlowCallerListener {
    /**
     * The caller is given up; nothing of it is counted any more.
     *
     * @param held bytes that were held for it
     * @param nodeHeld bytes that the node held for all callers
     * @param unreadMillis for how long it has read nothing
     */
    void onSlowCaller(long held, long nodeHeld, long unreadMillis);
  }

  CallerFlow(HeldBytesLimiter limiter, SlowCallerListener listener) {
    this.limiter = limiter;
    this.listener = listener;
  }

  /** Sets where the caller's answer comes from now; {@link ResponseSource#NONE} if from nowhere. */
  public void setSource(ResponseSource newSource) {
    source = newSource;
    if (paused) {
      source.pause();
    }
  }

  /** More is held. */
  public void hold(long bytes) {
    if (closed || bytes == 0) {
      return;
    }
    if (held == 0) {
      unreadSinceNanos = limiter.nanoTime();
    }
    held += bytes;
    limiter.onHeld(this, bytes);
  }

  /** The caller has read some of what was held. */
  public void delivered(long bytes) {
    if (!closed) {
      unreadSinceNanos = limiter.nanoTime();
      release(bytes);
    }
  }

  /** Some of what was held is not held here any more, though the caller need not have read it. */
  public void release(long bytes) {
    if (!closed && bytes > 0) {
      held -= bytes;
      limiter.onReleased(this, bytes);
    }
  }

  /** The caller is gone: nothing is held for it. */
  public void close() {
    release(held);
    source = ResponseSource.NONE;
    closed = true;
  }

  void abandon(long nodeHeld, long unreadMillis) {
    long before = held;
    close();
    listener.onSlowCaller(before, nodeHeld, unreadMillis);
  }

  void pause() {
    if (!paused) {
      paused = true;
      source.pause();
    }
  }

  void resume() {
    if (paused) {
      paused = false;
      source.resume();
    }
  }

  /** Bytes held. */
  public long held() {
    return held;
  }

  /** Since when the caller has read nothing of what is held for it. */
  long unreadSinceNanos() {
    return unreadSinceNanos;
  }

  /** Whether its answer is not to be read on. */
  public boolean paused() {
    return paused;
  }

  boolean hasSource() {
    return source != ResponseSource.NONE;
  }

  boolean pausesSource() {
    return paused && hasSource();
  }
}
