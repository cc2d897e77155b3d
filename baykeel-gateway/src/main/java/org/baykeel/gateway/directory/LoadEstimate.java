package org.baykeel.gateway.directory;

import java.util.Arrays;

/**
 * What this process takes the load of one engine to be: the engine's last report, and on top the
 * requests that this process has sent to it since that moment and that are not over. A report that
 * is too old says nothing.
 */
public final class LoadEstimate {
  /**
   * Age from which a report says nothing. Longer than the slow interval of reports, the lag of a
   * report behind the engine and the time in which a reporter is replaced, together.
   */
  public static final long STALE_NANOS = 2_500_000_000L;

  private static final int INITIAL_CAPACITY = 8;

  private EngineLoad reported;
  private long asOfNanos;

  /** When the requests under way were sent; the first {@link #underWay} count. */
  private long[] sentNanos = new long[INITIAL_CAPACITY];

  private int inFlight;

  /**
   * Adopts a report unless a later one is known.
   *
   * @param asOf when the engine's load was like this, by this process's clock
   * @return whether it was adopted
   */
  public boolean reported(EngineLoad load, long asOf) {
    if (reported != null && asOf - asOfNanos <= 0) {
      return false;
    }
    reported = load;
    asOfNanos = asOf;
    return true;
  }

  /** Drops the report: the engine that gave it is not the one that runs now. */
  public void forget() {
    reported = null;
  }

  /** This process sent a request to the engine. */
  public void sent(long nowNanos) {
    if (inFlight == sentNanos.length) {
      sentNanos = Arrays.copyOf(sentNanos, 2 * inFlight);
    }
    sentNanos[inFlight++] = nowNanos;
  }

  /**
   * A request that this process sent to the engine is over.
   *
   * @param sentAtNanos the moment that was passed when it was sent
   */
  public void ended(long sentAtNanos) {
    for (int i = 0; i < inFlight; i++) {
      if (sentNanos[i] == sentAtNanos) {
        sentNanos[i] = sentNanos[--inFlight];
        return;
      }
    }
  }

  /** Whether there is a report that is recent enough to decide by. */
  public boolean known(long nowNanos) {
    return reported != null && nowNanos - asOfNanos < STALE_NANOS;
  }

  /** The age of the last report; {@link Long#MAX_VALUE} if there was none. */
  public long ageNanos(long nowNanos) {
    return reported == null ? Long.MAX_VALUE : nowNanos - asOfNanos;
  }

  /**
   * Requests that the engine has taken, waiting ones among them.
   *
   * @return at least 0; 0 if nothing recent is known
   */
  public int requests(long nowNanos) {
    return known(nowNanos) ? reported.waiting() + reported.running() + sentSince() : 0;
  }

  /**
   * Requests that wait for a place.
   *
   * @param slots requests that the engine works on at once
   * @return at least 0; 0 if nothing recent is known
   */
  public int waiting(int slots, long nowNanos) {
    if (!known(nowNanos)) {
      return 0;
    }
    int free = Math.max(0, slots - reported.running());
    return reported.waiting() + Math.max(0, sentSince() - free);
  }

  /** Tokens of memory that the engine has; 0 if nothing recent is known. */
  public long totalTokens(long nowNanos) {
    return known(nowNanos) ? reported.totalTokens() : 0;
  }

  /** The part of the engine's memory that can't be given up; 0 if nothing recent is known. */
  public double memoryShare(long nowNanos) {
    return known(nowNanos) ? reported.memoryShare() : 0;
  }

  /** Requests under way of this process that the report can't have counted. */
  private int sentSince() {
    int since = 0;
    for (int i = 0; i < inFlight; i++) {
      if (sentNanos[i] - asOfNanos > 0) {
        since++;
      }
    }
    return since;
  }
}
