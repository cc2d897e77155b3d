package org.baykeel.node.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.Payload;

/**
 * A checked chat completion request.
 *
 * @param messages the content of the messages array
 * @param options sampling parameters that are passed on, as the content of a JSON object
 */
record ChatRequest(
    String model,
    Payload messages,
    int maximumTokens,
    String options,
    boolean stream,
    boolean includeUsage) {
  private static final int DEFAULT_MAXIMUM_TOKENS = 256;
  private static final int LARGEST_MAXIMUM_TOKENS = 1_000_000;
  private static final List<String> PASSED_ON =
      List.of("temperature", "top_p", "seed", "stop", "presence_penalty", "frequency_penalty");

  /**
   * Reads a request's body.
   *
   * @throws BaykeelException with {@link ErrorKind#INVALID_REQUEST}; its text names the field and
   *     never quotes content
   */
  static ChatRequest parse(byte[] body) {
    JsonNode root = parseObject(body);
    String model = root.path("model").asText("");
    if (model.isEmpty()) {
      throw invalid("model: a text is required");
    }
    boolean usage = root.path("stream_options").path("include_usage").asBoolean(false);
    return new ChatRequest(
        model,
        messages(root.path("messages")),
        maximumTokens(root),
        options(root),
        root.path("stream").asBoolean(false),
        usage);
  }

  /** Reads a body that must be a JSON object. */
  static JsonNode parseObject(byte[] body) {
    try {
      JsonNode root = HttpExchange.MAPPER.readTree(body);
      if (root instanceof ObjectNode) {
        return root;
      }
    } catch (IOException e) {
      throw invalid("the body is not valid JSON");
    }
    throw invalid("the body must be a JSON object");
  }

  private static Payload messages(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      throw invalid("messages: a list with at least one message is required");
    }
    StringBuilder content = new StringBuilder();
    for (JsonNode message : messages) {
      boolean valid = message.path("role").isTextual() && message.has("content");
      if (!valid) {
        throw invalid("messages: each message needs a role and a content");
      }
      content.append(content.isEmpty() ? "" : ",").append(text(message));
    }
    return Payload.of(content.toString());
  }

  private static int maximumTokens(JsonNode root) {
    JsonNode value =
        root.has("max_completion_tokens")
            ? root.get("max_completion_tokens")
            : root.path("max_tokens");
    if (value.isMissingNode() || value.isNull()) {
      return DEFAULT_MAXIMUM_TOKENS;
    }
    boolean valid = value.isInt() && value.asInt() >= 1 && value.asInt() <= LARGEST_MAXIMUM_TOKENS;
    if (!valid) {
      throw invalid("max_tokens: a whole number from 1 to " + LARGEST_MAXIMUM_TOKENS);
    }
    return value.asInt();
  }

  private static String options(JsonNode root) {
    StringBuilder options = new StringBuilder();
    for (String name : PASSED_ON) {
      if (root.hasNonNull(name)) {
        options.append(options.isEmpty() ? "" : ",");
        options.append('"').append(name).append("\":").append(text(root.get(name)));
      }
    }
    return options.toString();
  }

  private static String text(JsonNode node) {
    try {
      return HttpExchange.MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a parsed node can be written", e);
    }
  }

  static BaykeelException invalid(String detail) {
    return new BaykeelException(ErrorKind.INVALID_REQUEST, detail);
  }
}
