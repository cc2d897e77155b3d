package org.baykeel.bench.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** A caller of the nodes, on the HTTP client of the Java platform, used as it is. */
public final class CallerClient {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration CONNECT_LIMIT = Duration.ofSeconds(2);
  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(90);
  private static final String DATA_PREFIX = "data: ";

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_LIMIT)
          .build();
  private final List<String> nodes;
  private final String apiKey;
  private final AtomicInteger next = new AtomicInteger();

  /**
   * An answer.
   *
   * @param status HTTP status; zero if the connection failed or broke
   * @param whole true if the whole answer came
   * @param text the answer's text or body
   * @param errorCode code of the error, or empty
   * @param execution what the error says about the run, or empty
   * @param retry advice of the error, or empty
   * @param firstTextMillis time to the first text; -1 if none came
   */
  public record Answer(
      int status,
      boolean whole,
      String text,
      String errorCode,
      String execution,
      String retry,
      int retryAfterMillis,
      int promptTokens,
      int cachedTokens,
      long firstTextMillis) {
    /** True for a whole answer without error. */
    public boolean isSuccess() {
      return status >= 200 && status < 300 && whole && errorCode.isEmpty();
    }
  }

  /**
   * A client.
   *
   * @param nodes IP:PORT of the nodes; each request goes to the next one
   */
  public CallerClient(List<String> nodes, String apiKey) {
    this.nodes = List.copyOf(nodes);
    this.apiKey = apiKey;
  }

  private HttpRequest.Builder request(String path, Map<String, String> headers) {
    String node = nodes.get(Math.floorMod(next.getAndIncrement(), nodes.size()));
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + node + path))
            .timeout(ANSWER_LIMIT)
            .header("Authorization", "Bearer " + apiKey)
            .header("Content-Type", "application/json");
    headers.forEach(builder::header);
    return builder;
  }

  /** Sends a request whose answer is one JSON body. */
  public Answer call(String method, String path, Map<String, String> headers, byte[] body) {
    HttpRequest request =
        request(path, headers).method(method, HttpRequest.BodyPublishers.ofByteArray(body)).build();
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return broken(0, "", -1);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return broken(0, "", -1);
    }
  }

  private static Answer broken(int status, String text, long firstTextMillis) {
    return new Answer(status, false, text, "", "", "", 0, 0, 0, firstTextMillis);
  }

  private static Answer answer(int status, String body) throws IOException {
    JsonNode root = MAPPER.readTree(body);
    if (status >= 400) {
      return error(status, "", root.path("error"), -1);
    }
    JsonNode content = root.path("choices").path(0).path("message").path("content");
    String text = content.isTextual() ? content.asText() : body;
    JsonNode usage = root.path("usage");
    return new Answer(
        status,
        true,
        text,
        "",
        "",
        "",
        0,
        usage.path("prompt_tokens").asInt(),
        usage.path("prompt_tokens_details").path("cached_tokens").asInt(),
        -1);
  }

  private static Answer error(int status, String text, JsonNode error, long firstTextMillis) {
    return new Answer(
        status,
        true,
        text,
        error.path("code").asText("unreadable"),
        error.path("execution").asText(""),
        error.path("retry").asText(""),
        error.path("retry_after_ms").asInt(0),
        0,
        0,
        firstTextMillis);
  }

  /** Sends a chat completion request whose answer is streamed. */
  public Answer stream(Map<String, String> headers, byte[] body) {
    HttpRequest request =
        request("/v1/chat/completions", headers)
            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    StreamReader reader = new StreamReader();
    try {
      HttpResponse<Stream<String>> response =
          client.send(request, HttpResponse.BodyHandlers.ofLines());
      reader.status = response.statusCode();
      try (Stream<String> lines = response.body()) {
        lines.forEach(reader::onLine);
      }
      return reader.answer();
    } catch (IOException | UncheckedIOException e) {
      return broken(reader.status, reader.text.toString(), reader.firstTextMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return broken(reader.status, reader.text.toString(), reader.firstTextMillis);
    }
  }

  private static final class StreamReader {
    private final long startedNanos = System.nanoTime();
    private final StringBuilder text = new StringBuilder();
    private int status;
    private boolean done;
    private JsonNode error;
    private JsonNode usage;
    private long firstTextMillis = -1;

    void onLine(String line) {
      if (line.isEmpty()) {
        return;
      }
      String data = line.startsWith(DATA_PREFIX) ? line.substring(DATA_PREFIX.length()) : line;
      if (data.equals("[DONE]")) {
        done = true;
        return;
      }
      try {
        onEvent(MAPPER.readTree(data));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private void onEvent(JsonNode event) {
      if (event.has("error")) {
        error = event.get("error");
      }
      if (event.path("usage").isObject()) {
        usage = event.get("usage");
      }
      String piece = event.path("choices").path(0).path("delta").path("content").asText("");
      if (!piece.isEmpty() && firstTextMillis < 0) {
        firstTextMillis = (System.nanoTime() - startedNanos) / 1_000_000;
      }
      text.append(piece);
    }

    Answer answer() {
      if (error != null) {
        return error(status, text.toString(), error, firstTextMillis);
      }
      int prompt = usage == null ? 0 : usage.path("prompt_tokens").asInt();
      int cached =
          usage == null ? 0 : usage.path("prompt_tokens_details").path("cached_tokens").asInt();
      return new Answer(
          status, done, text.toString(), "", "", "", 0, prompt, cached, firstTextMillis);
    }
  }
}
