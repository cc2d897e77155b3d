package org.baykeel.core.program;

/**
 * Limits of a shard's coordinator. Times are in milliseconds.
 *
 * @param maximumQueuedCalls most calls that wait within one program
 * @param maximumAttempts most attempts of one call
 * @param cancelGraceMillis how long a model call goes on after its last caller has gone
 * @param modelTimeoutMillis longest time a model attempt may go without a token
 * @param retentionMillis how long an ended program's keys and outcomes are kept
 * @param idleLimitMillis a program without calls for this long is ended
 */
public record CoordinatorSettings(
    int maximumQueuedCalls,
    int maximumAttempts,
    int cancelGraceMillis,
    int modelTimeoutMillis,
    int retentionMillis,
    int idleLimitMillis) {
  /** The settings used unless the operator sets others. */
  public static final CoordinatorSettings DEFAULT =
      new CoordinatorSettings(32, 4, 10_000, 20_000, 600_000, 86_400_000);
}
