package org.baykeel.gateway.directory;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt parts that an engine is believed to keep in memory, from the requests that this
 * process has sent to it. Bounded by tokens; the parts unused longest are forgotten first.
 */
public final class CachedPrefixes {
  private static final int MAX_PARTS = 2_048;

  private final LinkedHashMap<String, Integer> cachedTokens =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
          return size() > MAX_PARTS;
        }
      };

  /** Notes that the engine has read these parts. */
  public void add(List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      cachedTokens.merge(part.id(), part.tokens(), Math::max);
    }
  }

  /** Notes that the engine has generated tokens behind a prompt; they extend its last part. */
  public void extend(List<PromptPart> prompt, int generatedTokens) {
    if (!prompt.isEmpty()) {
      PromptPart last = prompt.get(prompt.size() - 1);
      cachedTokens.merge(last.id(), last.tokens() + generatedTokens, Math::max);
    }
  }

  /** Whether the engine is believed to keep anything of a part. */
  public boolean contains(String partId) {
    return cachedTokens.containsKey(partId);
  }

  /** Whether the engine is believed to keep anything of a prompt's own, last part. */
  public boolean containsOwnPart(List<PromptPart> prompt) {
    return !prompt.isEmpty() && contains(prompt.get(prompt.size() - 1).id());
  }

  /**
   * Tokens of the prompt that the engine would have to read. A part grows from turn to turn under
   * the same identifier, so what is kept of it may be less than its length; behind a gap nothing
   * counts as kept.
   */
  public int uncachedTokens(List<PromptPart> prompt) {
    int uncached = 0;
    for (PromptPart part : prompt) {
      int cached = uncached > 0 ? 0 : cachedTokens.getOrDefault(part.id(), 0);
      uncached += Math.max(0, part.tokens() - cached);
    }
    return uncached;
  }
}
