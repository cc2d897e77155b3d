package org.baykeel.core.message;

/**
 * What an attempt used.
 *
 * @param promptTokens tokens read
 * @param completionTokens tokens generated
 * @param cachedTokens tokens of the prompt that the engine found in its cache
 */
public record Usage(int promptTokens, int completionTokens, int cachedTokens) {
  /** No tokens at all. */
  public static final Usage NONE = new Usage(0, 0, 0);
}
