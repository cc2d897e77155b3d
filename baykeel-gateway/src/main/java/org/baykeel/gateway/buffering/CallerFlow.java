package org.baykeel.gateway.buffering;

/**
 * Counts the bytes held for one caller and pauses the source of its response.
 *
 * <p>Held bytes are those written to the caller's connection that it has not read, and events that
 * wait for their token grant. There is one instance per connection, which carries one call at a
 * time; the unread rest of a response stays counted after the end of its call.
 */
public final class CallerFlow {
  private final HeldBytesLimiter limiter;
  private final SlowCallerListener listener;
  private ResponseSource source = ResponseSource.NONE;
  private long held;
  private long unreadSinceNanos;
  private boolean paused;
  private boolean closed;

  /** Closes the connection of a caller that reads too slowly. */
  @FunctionalInterface
  public interface SlowCallerListener {
    /**
     * Called when the caller is abandoned; its bytes are no longer counted.
     *
     * @param held bytes that were held for the caller
     * @param nodeHeld bytes that the node held for all callers
     * @param unreadMillis milliseconds for which the caller has read nothing
     */
    void onSlowCaller(long held, long nodeHeld, long unreadMillis);
  }

  CallerFlow(HeldBytesLimiter limiter, SlowCallerListener listener) {
    this.limiter = limiter;
    this.listener = listener;
  }

  /** Sets the source of the caller's response; {@link ResponseSource#NONE} if it has none. */
  public void setSource(ResponseSource newSource) {
    source = newSource;
    if (paused) {
      source.pause();
    }
  }

  /** Counts bytes that are now held for the caller. */
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

  /** Releases bytes that the caller has read. */
  public void delivered(long bytes) {
    if (!closed) {
      unreadSinceNanos = limiter.nanoTime();
      release(bytes);
    }
  }

  /** Releases bytes that are no longer held here, whether or not the caller has read them. */
  public void release(long bytes) {
    if (!closed && bytes > 0) {
      held -= bytes;
      limiter.onReleased(this, bytes);
    }
  }

  /** Releases all bytes; the caller has disconnected. */
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

  /** Returns the bytes held for the caller. */
  public long held() {
    return held;
  }

  /** Returns the time since which the caller has read none of the held bytes. */
  long unreadSinceNanos() {
    return unreadSinceNanos;
  }

  /** Returns whether the source of the response has to be paused. */
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
