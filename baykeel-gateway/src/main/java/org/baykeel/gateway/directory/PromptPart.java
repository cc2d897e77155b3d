package org.baykeel.gateway.directory;

import java.util.List;

/**
 * A part of a prompt that may be shared with other requests.
 *
 * @param id identifies its content
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {

  /** Returns the length of a whole prompt, in tokens. */
  public static int totalTokens(List<PromptPart> prompt) {
    int tokens = 0;
    for (int i = 0; i < prompt.size(); i++) {
      tokens += prompt.get(i).tokens();
    }
    return tokens;
  }
}
