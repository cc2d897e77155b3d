package org.baykeel.core.edge;

/**
 * Times of the caller edge, in milliseconds.
 *
 * @param repeatMillis a request that the leader has not acknowledged for this long is sent again
 * @param giveUpMillis without a word from any leader for this long the caller gets an answer
 * @param retryAfterMillis when such a caller should come back
 * @param maximumPending most requests of callers under way on one node
 */
public record EdgeSettings(
    int repeatMillis, int giveUpMillis, int retryAfterMillis, int maximumPending) {
  /** The settings used unless the operator sets others. */
  public static final EdgeSettings DEFAULT = new EdgeSettings(1_000, 15_000, 2_000, 10_000);
}
