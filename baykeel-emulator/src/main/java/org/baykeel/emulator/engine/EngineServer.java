package org.baykeel.emulator.engine;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.baykeel.emulator.http.EmulatorExchange;
import org.baykeel.emulator.http.EmulatorServer;

/** An emulated model engine behind HTTP: OpenAI's chat completions with priorities. */
public final class EngineServer {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Pattern STREAM =
      Pattern.compile("/v1/streams/([A-Za-z0-9.-]+)/(resume|cancel)");
  private static final String CACHE_PATH = "/v1/cache";
  private static final int DISCONNECT_GRACE_SECONDS = 10;
  private static final int NANOS_PER_MICRO = 1_000;
  private static final byte[] NO_BODY = new byte[0];

  private final EngineModel model;
  private final EventLoop loop;
  private final EmulatorServer server;
  private final Map<String, Future<?>> orphanTimers = new HashMap<>();
  private long wakeMicros = -1;

  /** Answer to a load request. */
  record Load(
      int running,
      int waiting,
      @JsonProperty("free_cache_tokens") long freeCacheTokens,
      boolean leaving) {}

  /** Answer to an inventory request. */
  record Inventory(List<String> programs) {}

  /** What the engine has done; read by replays, never by nodes. */
  public record Statistics(long prefilled, long reused, long generated) {}

  public EngineServer(EventLoopGroup group, EngineCosts costs, long seed) {
    this.model = new EngineModel(requireNonNull(costs, "costs"), seed);
    this.loop = group.next();
    this.server = new EmulatorServer(group, exchange -> loop.execute(() -> handle(exchange)));
  }

  /** Listens; returns the port. */
  public int listen(String host, int port) {
    return server.listen(host, port);
  }

  private static long nowMicros() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }

  private void handle(EmulatorExchange exchange) {
    String request = exchange.method() + " " + exchange.path();
    Matcher stream = STREAM.matcher(exchange.path());
    if (request.equals("POST /v1/chat/completions")) {
      complete(exchange);
    } else if (stream.matches() && stream.group(2).equals("resume")) {
      resume(exchange, stream.group(1));
    } else if (stream.matches()) {
      model.cancel(stream.group(1));
      exchange.respond(200, "{}");
    } else if (request.equals("GET /v1/load")) {
      exchange.respond(200, json(load()));
    } else if (request.equals("GET " + CACHE_PATH)) {
      exchange.respond(200, json(new Inventory(model.cachedPrograms())));
    } else if (request.startsWith("DELETE " + CACHE_PATH + "/")) {
      model.release(exchange.path().substring(CACHE_PATH.length() + 1));
      exchange.respond(200, "{}");
    } else if (request.equals("GET /statistics")) {
      exchange.respond(200, json(statistics()));
    } else if (request.equals("POST /leave")) {
      model.leave();
      exchange.respond(200, "{}");
    } else {
      exchange.respond(404, "{}");
    }
  }

  private Load load() {
    return new Load(model.running(), model.waiting(), model.freeCacheTokens(), model.isLeaving());
  }

  private Statistics statistics() {
    return new Statistics(model.prefilledTokens(), model.reusedTokens(), model.generatedTokens());
  }

  private void complete(EmulatorExchange exchange) {
    EngineRequest request;
    try {
      request = parse(exchange);
    } catch (IOException e) {
      exchange.respond(400, "{\"error\":{\"message\":\"not valid JSON\"}}");
      return;
    }
    HttpStream listener = new HttpStream(exchange);
    EngineStream stream = model.submit(request, listener, nowMicros());
    if (stream == null) {
      exchange.respond(503, NO_BODY, Map.of("X-Leaving", "true"));
      return;
    }
    exchange.beginStream();
    watchConnection(exchange, stream);
    schedule();
  }

  private static EngineRequest parse(EmulatorExchange exchange) throws IOException {
    JsonNode root = MAPPER.readTree(exchange.body());
    List<String> contents = new ArrayList<>();
    int tokens = 0;
    for (JsonNode message : root.path("messages")) {
      String content = message.path("content").asText();
      contents.add(content);
      tokens += AnswerText.messageTokens(content);
    }
    String continued = "";
    if (root.path("continue_final_message").asBoolean(false)) {
      continued = contents.remove(contents.size() - 1);
    }
    return new EngineRequest(
        exchange.header("X-Request-Id"),
        exchange.header("X-Baykeel-Program"),
        AnswerText.digest(contents),
        tokens,
        continued,
        root.path("max_tokens").asInt(16),
        root.path("priority").asInt(0));
  }

  private void resume(EmulatorExchange exchange, String streamId) {
    EngineStream stream = model.stream(streamId);
    if (stream == null || stream.isCancelled()) {
      exchange.respond(404, "{}");
      return;
    }
    Future<?> timer = orphanTimers.remove(streamId);
    if (timer != null) {
      timer.cancel(false);
    }
    exchange.beginStream();
    HttpStream listener = new HttpStream(exchange);
    String begun = stream.request().continuedText() + stream.text();
    if (!begun.isEmpty()) {
      exchange.event(textChunk(begun));
    }
    if (stream.isFinished()) {
      listener.onFinished(stream);
    } else {
      stream.listen(listener);
      watchConnection(exchange, stream);
    }
  }

  /** A stream whose reader has gone is kept for a while, so that another node can resume it. */
  private void watchConnection(EmulatorExchange exchange, EngineStream stream) {
    exchange.whenClosed(
        () ->
            loop.execute(
                () -> {
                  if (!stream.isFinished() && !stream.isCancelled()) {
                    String id = stream.request().streamId();
                    orphanTimers.put(
                        id,
                        loop.schedule(
                            () -> model.cancel(id), DISCONNECT_GRACE_SECONDS, TimeUnit.SECONDS));
                  }
                }));
  }

  private void schedule() {
    long next = model.advance(nowMicros());
    if (next < 0 || (wakeMicros >= 0 && wakeMicros <= next)) {
      return;
    }
    wakeMicros = next;
    long delay = Math.max(0, next - nowMicros());
    loop.schedule(
        () -> {
          wakeMicros = -1;
          schedule();
        },
        delay,
        TimeUnit.MICROSECONDS);
  }

  private static final class HttpStream implements EngineStream.Listener {
    private final EmulatorExchange exchange;

    HttpStream(EmulatorExchange exchange) {
      this.exchange = exchange;
    }

    @Override
    public void onToken(EngineStream stream, String token) {
      exchange.event(textChunk(token));
    }

    @Override
    public void onFinished(EngineStream stream) {
      EngineRequest request = stream.request();
      exchange.event(
          "{\"choices\":[],\"usage\":{\"prompt_tokens\":"
              + request.promptTokens()
              + ",\"completion_tokens\":"
              + (stream.generatedTokens() - request.continuedTokens())
              + ",\"prompt_tokens_details\":{\"cached_tokens\":"
              + stream.cachedTokens()
              + "}}}");
      exchange.event("[DONE]");
      exchange.endStream();
    }
  }

  /** Emulated tokens hold only letters, digits, brackets and spaces: nothing to escape. */
  private static String textChunk(String text) {
    return "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text + "\"}}]}";
  }

  private static String json(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an answer is plain data", e);
    }
  }
}
