package org.baykeel.gateway.scheduling;

import java.util.random.RandomGenerator;

/**
 * Estimates from this process's own requests how long engines keep work waiting, and decides
 * whether a new program may begin. Work of programs that run is never refused here: a program that
 * began is worth its end, and one that has not begun costs least to send away.
 */
public final class CongestionMonitor {
  /** Weight of one observation; about the last ten count. */
  private static final double SMOOTHING = 0.1;

  private static final long STALE_NANOS = 1_000_000_000L;

  /**
   * Where refusals begin and where all new programs are refused, in multiples of the time within
   * which the route wants its answers to begin.
   */
  private record Band(double begin, double full) {}

  private static final Band URGENT = new Band(4.5, 12.5);
  private static final Band ORDINARY = new Band(2.5, 7.5);

  /** Below this multiple of that time engines have time to spare. */
  private static final double SPARE = 0.5;

  private final RandomGenerator random;
  private double waitMillis;
  private long lastObservedNanos;

  /**
   * Creates a monitor.
   *
   * @param random decides between the two ends of a band
   */
  public CongestionMonitor(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Notes how long a request waited at an engine beyond what its prompt explains.
   *
   * @param millis the wait; negative values count as none
   */
  public void observeWait(double millis, long nowNanos) {
    waitMillis += SMOOTHING * (Math.max(0, millis) - waitMillis);
    lastObservedNanos = nowNanos;
  }

  /** The smoothed wait in milliseconds; none if nothing was observed for a while. */
  public double waitMillis(long nowNanos) {
    return nowNanos - lastObservedNanos > STALE_NANOS ? 0 : waitMillis;
  }

  /**
   * Whether a new program may begin.
   *
   * @param mostUrgent whether it belongs to the most urgent rank
   * @param targetMillis the time within which its route wants an answer to begin
   */
  public boolean admits(boolean mostUrgent, long targetMillis, long nowNanos) {
    Band band = mostUrgent ? URGENT : ORDINARY;
    double targets = waitMillis(nowNanos) / Math.max(1, targetMillis);
    double excess = targets - band.begin();
    if (excess <= 0) {
      return true;
    }
    return random.nextDouble() * (band.full() - band.begin()) > excess;
  }

  /**
   * Whether engines have time to spare for work that may turn out to be for nothing.
   *
   * @param targetMillis the time within which the route wants an answer to begin
   */
  public boolean timeToSpare(long targetMillis, long nowNanos) {
    return waitMillis(nowNanos) <= targetMillis * SPARE;
  }
}
