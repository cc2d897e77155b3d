package org.baykeel.gateway.directory;

/**
 * The load of an engine as reported by the engine, counted over all callers.
 *
 * @param waiting requests that it has accepted and not started
 * @param running requests that it works on
 * @param usedTokens tokens of memory that can't be evicted for other requests
 * @param totalTokens tokens of memory that it has; 0 if not reported
 */
public record EngineLoad(int waiting, int running, long usedTokens, long totalTokens) {

  /** Returns the part of its memory that can't be evicted, 0 to 1; 0 if its size is not known. */
  public double memoryShare() {
    return totalTokens <= 0 ? 0 : Math.min(1, (double) usedTokens / totalTokens);
  }
}
