package org.baykeel.gateway.directory;

import java.util.Arrays;

/**
 * The estimate of the load of one engine: the engine's last report plus the requests that this node
 * has sent to it since the moment of that report and that are still in flight. A report that is too
 * old is ignored.
 */
public final class LoadEstimate {
  /**
   * Age from which a report is ignored. Longer than the interval of reports of an engine that is
   * not loaded, the lag of a report behind the engine and the time in which a reporter is replaced,
   * together.
   */
  public static final long STALE_NANOS = 2_500_000_000L;

  private static final int INITIAL_CAPACITY = 8;

  private EngineLoad reported;
  private long asOfNanos;

  /** When the requests in flight were sent; the first {@link #inFlight} elements are used. */
  private long[] sentNanos = new long[INITIAL_CAPACITY];

  private int inFlight;

  /**
   * Adopts a report unless a later one is known.
   *
   * @param asOf the moment that the report describes, by this node's clock
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

  /** Drops the report, which belongs to an engine that no longer runs. */
  public void forget() {
    reported = null;
  }

  /** Records that this node sent a request to the engine. */
  public void sent(long nowNanos) {
    if (inFlight == sentNanos.length) {
      sentNanos = Arrays.copyOf(sentNanos, 2 * inFlight);
    }
    sentNanos[inFlight++] = nowNanos;
  }

  /**
   * Records that a request of this node to the engine has ended.
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

  /** Returns whether there is a report that is not too old. */
  public boolean known(long nowNanos) {
    return reported != null && nowNanos - asOfNanos < STALE_NANOS;
  }

  /**
   * Returns the age of the last report in nanoseconds; {@link Long#MAX_VALUE} if there was none.
   */
  public long ageNanos(long nowNanos) {
    return reported == null ? Long.MAX_VALUE : nowNanos - asOfNanos;
  }

  /**
   * Returns the number of requests that the engine has accepted, including waiting ones.
   *
   * @return at least 0; 0 if there is no report that is not too old
   */
  public int requests(long nowNanos) {
    return known(nowNanos) ? reported.waiting() + reported.running() + sentSince() : 0;
  }

  /**
   * Returns the number of requests that wait for a slot.
   *
   * @param slots requests that the engine works on at once
   * @return at least 0; 0 if there is no report that is not too old
   */
  public int waiting(int slots, long nowNanos) {
    if (!known(nowNanos)) {
      return 0;
    }
    int free = Math.max(0, slots - reported.running());
    return reported.waiting() + Math.max(0, sentSince() - free);
  }

  /**
   * Returns the tokens of memory that the engine has; 0 if there is no report that is not too old.
   */
  public long totalTokens(long nowNanos) {
    return known(nowNanos) ? reported.totalTokens() : 0;
  }

  /**
   * Returns the part of the engine's memory that can't be evicted; 0 if there is no report that is
   * not too old.
   */
  public double memoryShare(long nowNanos) {
    return known(nowNanos) ? reported.memoryShare() : 0;
  }

  /** Returns the number of requests in flight from this node that the report can't include. */
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
