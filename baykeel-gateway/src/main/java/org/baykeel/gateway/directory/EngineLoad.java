package org.baykeel.gateway.directory;

/**
 * The load of an engine as it told it itself, counted over all callers.
 *
 * @param waiting requests that it has taken and not begun
 * @param running requests that it works on
 * @param usedTokens tokens of memory that can't be given up for other requests
 * @param totalTokens tokens of memory that it has; 0 if it did not say
 */
public record EngineLoad(int waiting, int running, long usedTokens, long totalTokens) {

  /** The part of its memory that can't be given up, 0 to 1; 0 if its size is not known. */
  public double memoryShare() {
    return totalTokens <= 0 ? 0 : Math.min(1, (double) usedTokens / totalTokens);
  }
}
