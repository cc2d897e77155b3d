package org.baykeel.core.bootstrap;

/**
 * How replica groups are created and kept.
 *
 * @param shardCount number of shards; fixed for the life of an installation
 * @param replicas members of each group: five let any two be lost at once
 * @param expectedNodes members that must be seen before the first assignment is written
 * @param settleMillis how long the member list must be unchanged before that
 * @param pollMillis how often the table service is read until an assignment is known
 * @param replaceAfterMillis how long a member must be believed dead before it is replaced
 */
public record BootstrapSettings(
    int shardCount,
    int replicas,
    int expectedNodes,
    int settleMillis,
    int pollMillis,
    int replaceAfterMillis) {
  /** The settings used unless the operator sets others. */
  public static final BootstrapSettings DEFAULT =
      new BootstrapSettings(16, 5, 3, 1_500, 1_000, 5_000);

  public BootstrapSettings {
    if (shardCount <= 0 || replicas <= 0 || expectedNodes <= 0) {
      throw new IllegalArgumentException("counts must be positive");
    }
  }
}
