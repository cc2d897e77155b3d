package org.baykeel.gateway.admission;

/** Spreads the share of programs that may begin over those who ask. */
@FunctionalInterface
public interface OpeningShares {
  /** Gives everybody the same share. */
  OpeningShares EVEN = (opening, share, nowNanos) -> share;

  /**
   * The share of programs like this one that may begin.
   *
   * @param share the share of all programs of its kind, above 0 and below 1
   * @return from 0 to 1
   */
  double shareOf(Opening opening, double share, long nowNanos);
}
