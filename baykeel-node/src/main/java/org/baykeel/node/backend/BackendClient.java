package org.baykeel.node.backend;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;
import org.baykeel.node.transport.HttpCall;
import org.baykeel.node.transport.HttpClient;
import org.baykeel.node.transport.WholeBody;

/**
 * Speaks to model engines and tool services. A back end refuses with 429 or 503 only before it has
 * done anything; any other broken or failed answer may stand for a request that ran.
 */
public final class BackendClient {
  /** Names the attempt; the engine uses it to resume and cancel streams. */
  static final String ATTEMPT_HEADER = "X-Request-Id";

  /** Names the program that the cached prefix belongs to. */
  static final String PROGRAM_HEADER = "X-Baykeel-Program";

  /** Set by a back end that refuses because it is leaving. */
  static final String LEAVING_HEADER = "X-Leaving";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int POLL_MILLIS = 1_000;

  private final HttpClient client;
  private final BackendEvents events;
  private final LongSupplier clock;
  private final Map<AttemptId, HttpClient.Exchange> exchanges = new ConcurrentHashMap<>();

  public BackendClient(HttpClient client, BackendEvents events, LongSupplier clock) {
    this.client = requireNonNull(client, "client");
    this.events = requireNonNull(events, "events");
    this.clock = requireNonNull(clock, "clock");
  }

  /** Starts an attempt, or takes up its stream again. */
  public void start(BackendAttempt attempt) {
    abandon(attempt.id());
    if (attempt.kind() == CallKind.TOOL) {
      startTool(attempt);
    } else {
      startModel(attempt);
    }
  }

  private void startModel(BackendAttempt attempt) {
    String path =
        attempt.resume() ? "/v1/streams/" + attempt.id() + "/resume" : "/v1/chat/completions";
    Payload body = attempt.resume() ? Payload.EMPTY : modelBody(attempt);
    Map<String, String> headers =
        Map.of(
            ATTEMPT_HEADER, attempt.id().toString(),
            PROGRAM_HEADER, attempt.id().programId());
    HttpCall call = new HttpCall(attempt.address(), "POST", path, headers, body, false);
    ModelStream stream = new ModelStream(attempt.id(), attempt.continuation(), events);
    exchanges.put(attempt.id(), client.start(call, stream, 0));
  }

  /**
   * An OpenAI chat completion request; a continued answer is sent as its unfinished last message.
   */
  private static Payload modelBody(BackendAttempt attempt) {
    ByteArrayOutputStream body = new ByteArrayOutputStream(attempt.body().length() + 256);
    write(body, "{\"model\":\"" + attempt.target() + "\",\"messages\":[");
    body.writeBytes(attempt.body().array());
    boolean continues = attempt.continuation().length() > 0;
    if (continues) {
      write(body, ",{\"role\":\"assistant\",\"content\":\"");
      String begun = attempt.continuation().text();
      body.writeBytes(JsonStringEncoder.getInstance().quoteAsUTF8(begun));
      write(body, "\"}");
    }
    write(body, "],\"max_tokens\":" + attempt.maximumTokens());
    write(body, ",\"priority\":" + attempt.priority());
    if (!attempt.operation().isEmpty()) {
      write(body, "," + attempt.operation());
    }
    write(body, ",\"continue_final_message\":" + continues);
    write(body, ",\"stream\":true,\"stream_options\":{\"include_usage\":true}}");
    return Payload.wrap(body.toByteArray());
  }

  private static void write(ByteArrayOutputStream out, String text) {
    out.writeBytes(text.getBytes(StandardCharsets.UTF_8));
  }

  private void startTool(BackendAttempt attempt) {
    AttemptId id = attempt.id();
    Map<String, String> headers =
        Map.of(
            ATTEMPT_HEADER,
            id.toString(),
            PROGRAM_HEADER,
            id.programId(),
            "Idempotency-Key",
            attempt.idempotencyKey());
    HttpCall call =
        new HttpCall(
            attempt.address(),
            "POST",
            "/v1/operations/" + attempt.operation(),
            headers,
            attempt.body(),
            true);
    WholeBody collector = new WholeBody(answer -> onToolAnswer(id, answer));
    exchanges.put(id, client.start(call, collector, 0));
  }

  private void onToolAnswer(AttemptId id, WholeBody.Answer answer) {
    if (answer.isSuccess()) {
      events.onCompleted(id, answer.body(), Usage.NONE);
    } else if (answer.status() == 0) {
      events.onFailed(id, answer.requestSent() ? AttemptFailure.BROKEN : AttemptFailure.NOT_TAKEN);
    } else {
      events.onFailed(id, failureOf(answer.status(), saysLeaving(answer.headers())));
    }
  }

  static boolean saysLeaving(HttpHeaders headers) {
    return headers.contains(LEAVING_HEADER);
  }

  /** What a status says of an attempt that has no whole answer. */
  static AttemptFailure failureOf(int status, boolean leaving) {
    if (status == 429 || status == 503) {
      return leaving ? AttemptFailure.LEAVING : AttemptFailure.NOT_TAKEN;
    }
    boolean invalid = status >= 400 && status < 500;
    return invalid ? AttemptFailure.REJECTED : AttemptFailure.BROKEN;
  }

  /** Tells the back end to stop an attempt. */
  public void cancel(AttemptId id, String address) {
    abandon(id);
    String path = "/v1/streams/" + id + "/cancel";
    client.start(post(address, path), new WholeBody(answer -> {}), POLL_MILLIS);
  }

  private static HttpCall post(String address, String path) {
    return new HttpCall(address, "POST", path, Map.of(), Payload.EMPTY, false);
  }

  /** Closes the connection of an attempt and reports nothing further. */
  public void abandon(AttemptId id) {
    HttpClient.Exchange exchange = exchanges.remove(id);
    if (exchange != null) {
      exchange.abort();
    }
  }

  /** Forgets an attempt that has ended. */
  public void forget(AttemptId id) {
    exchanges.remove(id);
  }

  /** Tells an engine to drop what it caches of a program. */
  public void releaseCache(String engine, String address, String programId) {
    HttpCall call =
        new HttpCall(address, "DELETE", "/v1/cache/" + programId, Map.of(), Payload.EMPTY, false);
    client.start(
        call,
        new WholeBody(
            answer -> {
              if (answer.isSuccess()) {
                events.onCacheReleased(engine, programId);
              }
            }),
        POLL_MILLIS);
  }

  /** Asks an engine for its load. */
  public void pollEngine(String engine, String address) {
    HttpCall call = new HttpCall(address, "GET", "/v1/load", Map.of(), Payload.EMPTY, false);
    client.start(call, new WholeBody(answer -> onLoad(engine, answer)), POLL_MILLIS);
  }

  private void onLoad(String engine, WholeBody.Answer answer) {
    JsonNode load = answer.isSuccess() ? json(answer.body().array()) : null;
    if (load == null) {
      events.onReport(
          new EngineReport(engine, clock.getAsLong(), 0, 0, 0, EngineReport.Status.UNREACHABLE));
      return;
    }
    boolean leaving = load.path("leaving").asBoolean();
    events.onReport(
        new EngineReport(
            engine,
            clock.getAsLong(),
            load.path("running").asInt(),
            load.path("waiting").asInt(),
            load.path("free_cache_tokens").asLong(),
            leaving ? EngineReport.Status.LEAVING : EngineReport.Status.SERVING));
  }

  /** Asks an engine which programs it caches. */
  public void pollInventory(String engine, String address) {
    HttpCall call = new HttpCall(address, "GET", "/v1/cache", Map.of(), Payload.EMPTY, false);
    client.start(call, new WholeBody(answer -> onInventory(engine, answer)), POLL_MILLIS);
  }

  private void onInventory(String engine, WholeBody.Answer answer) {
    JsonNode inventory = answer.isSuccess() ? json(answer.body().array()) : null;
    if (inventory == null) {
      return;
    }
    List<String> programIds = new ArrayList<>();
    inventory.path("programs").forEach(item -> programIds.add(item.asText()));
    events.onInventory(engine, programIds);
  }

  private static JsonNode json(byte[] body) {
    try {
      return MAPPER.readTree(body);
    } catch (IOException e) {
      return null;
    }
  }
}
