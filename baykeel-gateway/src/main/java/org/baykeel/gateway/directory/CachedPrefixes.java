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

  private final LinkedHashMap<String, Boolean> parts =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_PARTS;
        }
      };

  /** Notes that the engine has read these parts. */
  public void add(List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      parts.put(part.id(), Boolean.TRUE);
    }
  }

  /** Whether the engine is believed to keep a part. */
  public boolean contains(String partId) {
    return parts.containsKey(partId);
  }

  /** Forgets everything, for an engine whose memory is no longer known. */
  public void clear() {
    parts.clear();
  }

  /**
   * Tokens of the prompt that the engine would have to read; a part counts only with all before.
   */
  public int uncachedTokens(List<PromptPart> prompt) {
    int uncached = 0;
    boolean contiguous = true;
    for (PromptPart part : prompt) {
      contiguous = contiguous && parts.containsKey(part.id());
      if (!contiguous) {
        uncached += part.tokens();
      }
    }
    return uncached;
  }
}
