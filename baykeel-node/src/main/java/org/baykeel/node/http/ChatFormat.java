package org.baykeel.node.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.baykeel.core.message.Usage;

/** The answers of the chat completions interface, in OpenAI's format. */
final class ChatFormat {
  private ChatFormat() {}

  /** A whole answer. */
  record Completion(
      String id,
      String object,
      long created,
      String model,
      List<Choice> choices,
      UsageCount usage) {}

  /** The only choice of a whole answer. */
  record Choice(int index, Message message, @JsonProperty("finish_reason") String finishReason) {}

  /** A message. */
  record Message(String role, String content) {}

  /** One event of a streamed answer. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Chunk(
      String id,
      String object,
      long created,
      String model,
      List<ChunkChoice> choices,
      UsageCount usage) {}

  /** The only choice of an event. */
  record ChunkChoice(int index, Delta delta, @JsonProperty("finish_reason") String finishReason) {}

  /** What an event adds. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Delta(String role, String content) {}

  /** Tokens used. */
  record UsageCount(
      @JsonProperty("prompt_tokens") int promptTokens,
      @JsonProperty("completion_tokens") int completionTokens,
      @JsonProperty("total_tokens") int totalTokens,
      @JsonProperty("prompt_tokens_details") PromptDetails details,
      long cost) {}

  /** Tokens of the prompt that were found in a cache. */
  record PromptDetails(@JsonProperty("cached_tokens") int cachedTokens) {}

  static UsageCount usage(Usage usage, long cost) {
    return new UsageCount(
        usage.promptTokens(),
        usage.completionTokens(),
        usage.promptTokens() + usage.completionTokens(),
        new PromptDetails(usage.cachedTokens()),
        cost);
  }
}
