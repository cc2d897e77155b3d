package org.baykeel.core.membership;

/**
 * Times and sizes of failure detection. Times are in milliseconds.
 *
 * @param probeIntervalMillis each member probes one other member this often
 * @param probeTimeoutMillis after this time without an answer others are asked to probe
 * @param indirectProbes how many others are asked
 * @param suspicionMillis how long a suspected member has to refute
 * @param updatesPerMessage most statements that ride on one probe
 * @param synchronizationMillis how often the whole list is compared with one other member
 */
public record MembershipSettings(
    int probeIntervalMillis,
    int probeTimeoutMillis,
    int indirectProbes,
    int suspicionMillis,
    int updatesPerMessage,
    int synchronizationMillis) {
  /** The settings used unless the operator sets others. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(500, 200, 3, 2_000, 8, 30_000);

  public MembershipSettings {
    if (probeTimeoutMillis <= 0 || probeIntervalMillis <= probeTimeoutMillis) {
      throw new IllegalArgumentException("probeIntervalMillis must exceed probeTimeoutMillis");
    }
    if (suspicionMillis < probeIntervalMillis) {
      throw new IllegalArgumentException("suspicionMillis must be at least one probe interval");
    }
  }
}
