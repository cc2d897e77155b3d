package org.baykeel.gateway.fairness;

import org.baykeel.gateway.tenancy.LimitUse;

/** Distributes the admitted share of programs among the tenants that request to start one. */
@FunctionalInterface
public interface AdmissionShares {
  /** Gives all the same share. */
  AdmissionShares EVEN = (group, share, limitUse) -> share;

  /**
   * Returns the share of programs like this one that may start. Called once for each program, also
   * while all are admitted, so that the mix of tenants is known.
   *
   * @param group the programs that compete for the same capacity: those of one route at one service
   * @param share the share of all programs that may start now, 0 to 1
   * @param limitUse the tenant's recent use of its limit
   * @return 0 to 1
   */
  double shareOf(String group, double share, LimitUse limitUse);
}
