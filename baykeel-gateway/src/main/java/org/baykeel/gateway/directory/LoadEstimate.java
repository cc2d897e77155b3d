package org.baykeel.gateway.directory;

/**
 * What this process takes the load of one engine to be: the engine's last report, and on top what
 * this process has sent to it since that moment. A report that is too old says nothing.
 */
public final class LoadEstimate {
  /** Longer than a reporter that died takes to be replaced. */
  private static final long STALE_NANOS = 1_500_000_000L;

  private EngineLoad reported;
  private long asOfNanos;
  private int sentSince;

  /**
   * Adopts a report unless a later one is known.
   *
   * @param asOf when the engine's load was like this, by this process's clock
   */
  public void reported(EngineLoad load, long asOf) {
    if (reported == null || asOf - asOfNanos > 0) {
      reported = load;
      asOfNanos = asOf;
      sentSince = 0;
    }
  }

  /** This process sent a request to the engine. */
  public void sent(long nowNanos) {
    sentSince++;
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
    return known(nowNanos) ? reported.waiting() + reported.running() + sentSince : 0;
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
    return reported.waiting() + Math.max(0, sentSince - free);
  }

  /** Tokens of memory that the engine has; 0 if nothing recent is known. */
  public long totalTokens(long nowNanos) {
    return known(nowNanos) ? reported.totalTokens() : 0;
  }

  /** The part of the engine's memory that can't be given up; 0 if nothing recent is known. */
  public double memoryShare(long nowNanos) {
    return known(nowNanos) ? reported.memoryShare() : 0;
  }
}
