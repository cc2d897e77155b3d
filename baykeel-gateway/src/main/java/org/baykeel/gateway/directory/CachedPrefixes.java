package org.baykeel.gateway.directory;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt parts that an engine is believed to have cached, derived from the requests that this
 * node has sent to it. Bounded in the number of parts; the least recently used part is evicted
 * first.
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

  /** Records that the engine has prefilled these parts. */
  public void add(List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      cachedTokens.merge(part.id(), part.tokens(), Math::max);
    }
  }

  /**
   * Records that the engine has generated tokens after a prompt, which extend the last part of the
   * prompt.
   */
  public void extend(List<PromptPart> prompt, int generatedTokens) {
    if (!prompt.isEmpty()) {
      PromptPart last = prompt.get(prompt.size() - 1);
      cachedTokens.merge(last.id(), last.tokens() + generatedTokens, Math::max);
    }
  }

  /** Returns whether the engine is believed to have cached anything of a part. */
  public boolean contains(String partId) {
    return cachedTokens.containsKey(partId);
  }

  /**
   * Returns whether the engine is believed to have cached anything of the last part of a prompt,
   * which is not shared with other programs.
   */
  public boolean containsOwnPart(List<PromptPart> prompt) {
    return !prompt.isEmpty() && contains(prompt.get(prompt.size() - 1).id());
  }

  /**
   * Returns the number of tokens of the prompt that the engine would have to prefill. A part grows
   * from turn to turn under the same identifier, so the cached length may be less than its present
   * length. After the first token that is not cached, nothing else counts as cached.
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
