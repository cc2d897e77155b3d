package org.baykeel.gateway.fairness;

import org.baykeel.gateway.tenancy.LimitUse;

/** Divides the programs that may begin among those that ask to. */
@FunctionalInterface
public interface AdmissionShares {
  /** The same share for all. */
  AdmissionShares EVEN = (group, share, limitUse) -> share;

  /**
   * The share of programs like one that asks to begin that may do so. Asked once for each, also
   * while all may begin, so that it is known who asks.
   *
   * @param group what competes for the same room: programs of one kind at one service
   * @param share the share of all programs that may begin now, 0 to 1
   * @param limitUse what the tenant of the one that asks asked for lately
   * @return 0 to 1
   */
  double shareOf(String group, double share, LimitUse limitUse);
}
