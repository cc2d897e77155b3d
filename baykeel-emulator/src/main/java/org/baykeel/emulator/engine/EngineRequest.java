package org.baykeel.emulator.engine;

import static java.util.Objects.requireNonNull;

/**
 * A request to an emulated engine.
 *
 * @param streamId names the stream, to resume or cancel it
 * @param programId owner of the cached prefix; empty if nothing is to be kept
 * @param promptDigest eight hexadecimal digits over the prompt, put in front of the answer
 * @param promptTokens length of the prompt, the continued text included
 * @param continuedText the beginning of the answer, which the prompt already contains
 * @param maximumTokens length of the whole answer in tokens
 * @param priority lower numbers go first
 */
public record EngineRequest(
    String streamId,
    String programId,
    String promptDigest,
    int promptTokens,
    String continuedText,
    int maximumTokens,
    int priority) {
  public EngineRequest {
    requireNonNull(streamId, "streamId");
    requireNonNull(programId, "programId");
    requireNonNull(promptDigest, "promptDigest");
    requireNonNull(continuedText, "continuedText");
  }

  /** Tokens of the answer that the prompt already contains. */
  public int continuedTokens() {
    return continuedText.length() / AnswerText.TOKEN_BYTES;
  }
}
