package org.baykeel.bench.client;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** An operator's calls to one node. */
public final class OperatorClient {
  private static final Duration LIMIT = Duration.ofSeconds(30);

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final String node;
  private final String key;

  /** An answer. */
  public record Answer(int status, String body) {
    /** True for a 2xx status. */
    public boolean isSuccess() {
      return status >= 200 && status < 300;
    }
  }

  /**
   * A client.
   *
   * @param node IP:PORT of any node
   * @param key the operators' key, or empty
   */
  public OperatorClient(String node, String key) {
    this.node = node;
    this.key = key;
  }

  /** Sends a request; status zero if there was no answer. */
  public Answer call(String method, String path, String body) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + node + path))
            .timeout(LIMIT)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (!key.isEmpty()) {
      builder.header("Authorization", "Bearer " + key);
    }
    try {
      HttpResponse<String> response =
          client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, "no answer from " + node);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new UncheckedIOException(new IOException(e));
    }
  }

  /** Reads a path. */
  public Answer get(String path) {
    return call("GET", path, "");
  }

  /** Posts a body to a path. */
  public Answer post(String path, String body) {
    return call("POST", path, body);
  }
}
