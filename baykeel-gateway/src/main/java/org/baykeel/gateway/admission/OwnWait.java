package org.baykeel.gateway.admission;

/** How long engines of a service keep this process's own requests waiting. */
final class OwnWait {
  /** Weight of one observation; about the last five count. */
  private static final double SMOOTHING = 0.2;

  /** Between two requests of a node that gets few of them nothing fades. */
  private static final double HOLD_NANOS = 300e6;

  private static final double FADE_NANOS = 500e6;

  private double millis;
  private long observedNanos;

  /** Notes one wait; negative values count as none. */
  void observe(double waitMillis, long nowNanos) {
    double before = millis(nowNanos);
    millis = before + SMOOTHING * (Math.max(0, waitMillis) - before);
    observedNanos = nowNanos;
  }

  /** The smoothed wait in milliseconds; without observations it fades out within seconds. */
  double millis(long nowNanos) {
    double fading = Math.max(0, nowNanos - observedNanos - HOLD_NANOS);
    return millis * Math.exp(-fading / FADE_NANOS);
  }
}
