package org.baykeel.emulator.platform;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.baykeel.core.message.Payload;
import org.baykeel.emulator.http.EmulatorExchange;
import org.baykeel.emulator.http.EmulatorServer;

/**
 * The platform's emulated table service: conditional writes, a rate limit, and faults that can be
 * switched on.
 */
public final class PlatformServer {
  /** How the stores behave. */
  public enum Fault {
    NONE,
    /** Connections are closed without an answer, and nothing is done. */
    DOWN,
    /** Writes take effect, but every answer is lost. */
    LOSES_ANSWERS,
    /** Every answer takes two seconds more. */
    SLOW
  }

  private record Row(long version, Payload value) {}

  private static final String ROWS = "/rows/";
  private static final String FAULTS = "/faults/";
  private static final int SLOW_MILLIS = 2_000;
  private static final int OPERATIONS_PER_SECOND = 2_000;

  private final EventLoop loop;
  private final EmulatorServer server;
  private final Map<String, Row> rows = new TreeMap<>();
  private Fault fault = Fault.NONE;
  private long secondStartedNanos = System.nanoTime();
  private int operationsInSecond;

  public PlatformServer(EventLoopGroup group) {
    this.loop = requireNonNull(group, "group").next();
    this.server = new EmulatorServer(group, exchange -> loop.execute(() -> handle(exchange)));
  }

  /** Listens; returns the port. */
  public int listen(String host, int port) {
    return server.listen(host, port);
  }

  private void handle(EmulatorExchange exchange) {
    if (exchange.path().startsWith(FAULTS)) {
      String name = exchange.path().substring(FAULTS.length());
      fault = Fault.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
      exchange.respond(200, "{}");
      return;
    }
    switch (fault) {
      case DOWN -> exchange.drop();
      case LOSES_ANSWERS -> {
        apply(exchange, false);
        exchange.drop();
      }
      case SLOW -> loop.schedule(() -> apply(exchange, true), SLOW_MILLIS, TimeUnit.MILLISECONDS);
      default -> apply(exchange, true);
    }
  }

  private void apply(EmulatorExchange exchange, boolean answers) {
    if (!withinRate()) {
      answer(exchange, answers, 429, new byte[0], Map.of("Retry-After", "1"));
      return;
    }
    String path = exchange.path();
    boolean write = exchange.method().equals("PUT");
    if (path.startsWith(ROWS)) {
      String key = path.substring(ROWS.length());
      if (write) {
        writeRow(exchange, answers, key);
      } else {
        readRow(exchange, answers, key);
      }
    } else {
      byte[] nothing = "{}".getBytes(StandardCharsets.UTF_8);
      answer(exchange, answers, 404, nothing, Map.of());
    }
  }

  private boolean withinRate() {
    long now = System.nanoTime();
    if (now - secondStartedNanos >= TimeUnit.SECONDS.toNanos(1)) {
      secondStartedNanos = now;
      operationsInSecond = 0;
    }
    operationsInSecond++;
    return operationsInSecond <= OPERATIONS_PER_SECOND;
  }

  private static void answer(
      EmulatorExchange exchange,
      boolean answers,
      int status,
      byte[] body,
      Map<String, String> headers) {
    if (answers) {
      exchange.respond(status, body, headers);
    }
  }

  private void readRow(EmulatorExchange exchange, boolean answers, String key) {
    Row row = rows.get(key);
    if (row == null) {
      answer(exchange, answers, 404, new byte[0], Map.of());
    } else {
      answer(exchange, answers, 200, row.value().array(), tag(row.version()));
    }
  }

  private static Map<String, String> tag(long version) {
    return Map.of("ETag", "\"" + version + "\"");
  }

  private void writeRow(EmulatorExchange exchange, boolean answers, String key) {
    Row present = rows.get(key);
    boolean allowed;
    if (!exchange.header("If-None-Match").isEmpty()) {
      allowed = present == null;
    } else {
      String expected = exchange.header("If-Match").replace("\"", "");
      allowed = present != null && expected.equals(Long.toString(present.version()));
    }
    if (!allowed) {
      answer(exchange, answers, 412, new byte[0], Map.of());
      return;
    }
    long version = present == null ? 1 : present.version() + 1;
    rows.put(key, new Row(version, Payload.wrap(exchange.body())));
    answer(exchange, answers, 200, new byte[0], tag(version));
  }
}
