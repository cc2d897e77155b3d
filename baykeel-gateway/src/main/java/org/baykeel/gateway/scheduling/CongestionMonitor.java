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

  /** Where refusals begin and where all new programs are refused, in milliseconds of waiting. */
  private record Band(double beginMillis, double fullMillis) {}

  private static final Band URGENT = new Band(900, 2_500);
  private static final Band ORDINARY = new Band(500, 1_500);

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
   */
  public boolean admits(boolean mostUrgent, long nowNanos) {
    Band band = mostUrgent ? URGENT : ORDINARY;
    double excess = waitMillis(nowNanos) - band.beginMillis();
    if (excess <= 0) {
      return true;
    }
    return random.nextDouble() * (band.fullMillis() - band.beginMillis()) > excess;
  }
}
