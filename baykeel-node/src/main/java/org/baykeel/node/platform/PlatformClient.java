package org.baykeel.node.platform;

import static java.util.Objects.requireNonNull;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Map;
import java.util.function.Consumer;
import org.baykeel.core.message.Payload;
import org.baykeel.core.platform.Platform;
import org.baykeel.core.platform.TableResult;
import org.baykeel.node.settings.ProcessSettings.PlatformAddresses;
import org.baykeel.node.transport.HttpCall;
import org.baykeel.node.transport.HttpClient;
import org.baykeel.node.transport.WholeBody;

/**
 * The platform's table service over HTTP: rows with entity tags and conditional writes ({@code
 * If-Match}, {@code If-None-Match}).
 */
public final class PlatformClient implements Platform {
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;

  private final HttpClient client;
  private final PlatformAddresses addresses;
  private final Consumer<Runnable> agent;
  private final Consumer<String> unavailable;

  /**
   * A client.
   *
   * @param agent runs callbacks on the node's own thread
   * @param unavailable told the name of a service that did not answer
   */
  public PlatformClient(
      HttpClient client,
      PlatformAddresses addresses,
      Consumer<Runnable> agent,
      Consumer<String> unavailable) {
    this.client = requireNonNull(client, "client");
    this.addresses = requireNonNull(addresses, "addresses");
    this.agent = requireNonNull(agent, "agent");
    this.unavailable = requireNonNull(unavailable, "unavailable");
  }

  @Override
  public void readRow(String key, Consumer<TableResult> callback) {
    HttpCall call = call(addresses.tableService(), "GET", "/rows/" + key, Map.of(), Payload.EMPTY);
    start(call, answer -> agent.accept(() -> callback.accept(rowRead(answer))));
  }

  private TableResult rowRead(WholeBody.Answer answer) {
    if (answer.status() == NOT_FOUND) {
      return new TableResult(TableResult.Status.ABSENT, 0, Payload.EMPTY);
    }
    if (!answer.isSuccess()) {
      unavailable.accept("table service");
      return TableResult.UNAVAILABLE;
    }
    Payload value = answer.body();
    return new TableResult(TableResult.Status.FOUND, version(answer), value);
  }

  private static long version(WholeBody.Answer answer) {
    String tag = answer.headers().get(HttpHeaderNames.ETAG);
    return Long.parseLong(tag.replace("\"", ""));
  }

  @Override
  public void writeRow(
      String key, long expectedVersion, Payload value, Consumer<TableResult> callback) {
    Map<String, String> condition =
        expectedVersion == 0
            ? Map.of("If-None-Match", "*")
            : Map.of("If-Match", "\"" + expectedVersion + "\"");
    HttpCall call = call(addresses.tableService(), "PUT", "/rows/" + key, condition, value);
    start(call, answer -> agent.accept(() -> callback.accept(rowWritten(answer))));
  }

  private TableResult rowWritten(WholeBody.Answer answer) {
    if (answer.status() == PRECONDITION_FAILED) {
      return new TableResult(TableResult.Status.CONFLICT, 0, Payload.EMPTY);
    }
    if (!answer.isSuccess()) {
      unavailable.accept("table service");
      return TableResult.UNAVAILABLE;
    }
    return new TableResult(TableResult.Status.WRITTEN, version(answer), Payload.EMPTY);
  }

  private static HttpCall call(
      String address, String method, String path, Map<String, String> headers, Payload body) {
    return new HttpCall(address, method, path, headers, body, false);
  }

  private void start(HttpCall call, Consumer<WholeBody.Answer> callback) {
    client.start(call, new WholeBody(callback), addresses.timeoutMillis());
  }
}
