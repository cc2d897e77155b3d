package org.baykeel.emulator.tool;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.baykeel.core.message.Payload;
import org.baykeel.emulator.http.EmulatorExchange;
import org.baykeel.emulator.http.EmulatorServer;

/**
 * An emulated tool service. It runs every request that it gets and counts the runs of each
 * idempotency key; it never suppresses a repetition, so a request that is sent twice shows.
 */
public final class ToolServer {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String OPERATIONS = "/v1/operations/";

  private final EventLoop loop;
  private final EmulatorServer server;
  private final int serviceMillis;
  private final Map<String, Integer> runsByKey = new TreeMap<>();
  private boolean leaving;

  /** Answer to an operation. */
  record Done(String operation, String key, String digest) {}

  /** Which key ran how often. */
  record Runs(Map<String, Integer> runs) {}

  /**
   * A tool service.
   *
   * @param serviceMillis time that each operation takes
   */
  public ToolServer(EventLoopGroup group, int serviceMillis) {
    this.loop = requireNonNull(group, "group").next();
    this.serviceMillis = serviceMillis;
    this.server = new EmulatorServer(group, exchange -> loop.execute(() -> handle(exchange)));
  }

  /** Listens; returns the port. */
  public int listen(String host, int port) {
    return server.listen(host, port);
  }

  private void handle(EmulatorExchange exchange) {
    if (exchange.path().startsWith(OPERATIONS) && exchange.method().equals("POST")) {
      run(exchange);
    } else if (exchange.path().equals("/runs")) {
      exchange.respond(200, json(new Runs(runsByKey)));
    } else if (exchange.path().equals("/leave")) {
      leaving = true;
      exchange.respond(200, "{}");
    } else {
      exchange.respond(404, "{}");
    }
  }

  private void run(EmulatorExchange exchange) {
    if (leaving) {
      exchange.respond(503, new byte[0], Map.of("X-Leaving", "true"));
      return;
    }
    String key = exchange.header("Idempotency-Key");
    runsByKey.merge(key, 1, Integer::sum);
    String operation = exchange.path().substring(OPERATIONS.length());
    Done done = new Done(operation, key, digest(exchange.body()));
    loop.schedule(() -> exchange.respond(200, json(done)), serviceMillis, TimeUnit.MILLISECONDS);
  }

  /** Digest of a request's body, given back so that a caller can tell its own answer. */
  public static String digest(byte[] body) {
    return HexFormat.of().formatHex(Payload.wrap(body).sha256().array());
  }

  private static String json(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an answer is plain data", e);
    }
  }
}
