package org.baykeel.emulator.engine;

/**
 * What an emulated engine's work costs.
 *
 * @param prefillTokensPerSecond speed of reading uncached prompt tokens
 * @param stepMicros fixed time of one batch step
 * @param sequenceMicros time that each sequence adds to a step
 * @param stepTokenBudget most tokens, read and generated, in one step
 * @param maximumBatch most sequences in the batch
 * @param cacheTokens size of the prefix cache
 * @param blockTokens the cache keeps whole blocks of this many tokens
 */
public record EngineCosts(
    int prefillTokensPerSecond,
    int stepMicros,
    int sequenceMicros,
    int stepTokenBudget,
    int maximumBatch,
    long cacheTokens,
    int blockTokens) {
  /** Assumed: the order of magnitude published for mid-size models on one accelerator node. */
  public static final EngineCosts DEFAULT =
      new EngineCosts(8_000, 12_000, 250, 2_048, 32, 400_000, 16);
}
