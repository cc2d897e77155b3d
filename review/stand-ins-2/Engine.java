import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** A stand-in of a model engine: answers a turn with a stream of events. */
final class Engine {
  private final HttpServer server;
  private final String id;
  private final int slots;
  private final int events;
  private final int eventMillis;
  private final AtomicInteger running = new AtomicInteger();
  private final Consumer<String> note;
  private int answerBytes;
  final AtomicInteger runs = new AtomicInteger();

  Engine(String id, int slots, int events, int eventMillis, Consumer<String> note)
      throws IOException {
    this.note = note;
    this.id = id;
    this.slots = slots;
    this.events = events;
    this.eventMillis = eventMillis;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(Executors.newCachedThreadPool(Rig.daemon("engine")));
    server.createContext("/", this::handle);
    server.start();
  }

  String id() {
    return id;
  }

  String entry(String service, String zone) {
    return "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"phase\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":4}"
        .formatted(service, server.getAddress().getPort(), zone, slots);
  }

  void stop() {
    server.stop(0);
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      Headers asked = exchange.getRequestHeaders();
      Headers answer = exchange.getResponseHeaders();
      exchange.getRequestBody().readAllBytes();
      String requestId = asked.getFirst("Request-Id");
      if (requestId != null) {
        answer.set("Request-Id", requestId);
      }
      String expected = asked.getFirst("Expect-Instance");
      if (expected != null && !expected.equals(id)) {
        answer.set("Instance-Id", id);
        exchange.sendResponseHeaders(421, -1);
        return;
      }
      String path = exchange.getRequestURI().getPath();
      if (path.equals("/report")) {
        respond(
            exchange,
            "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":2,\"waiting\":0,\"running\":"
                + running.get()
                + ",\"kvUsed\":0,\"kvTotal\":490370,\"handles\":0}");
        return;
      }
      if (path.equals("/health")) {
        answer.set("Instance-Id", id);
        respond(exchange, "ok");
        return;
      }
      if (requestId == null) {
        answer.set("Not-Executed", "1");
        exchange.sendResponseHeaders(400, -1);
        return;
      }
      if (running.incrementAndGet() > slots) {
        running.decrementAndGet();
        answer.set("Not-Executed", "1");
        exchange.sendResponseHeaders(503, -1);
        return;
      }
      try {
        run(exchange);
      } finally {
        running.decrementAndGet();
      }
    }
  }

  /** Makes this an engine of a plain service, whose answers have a length. */
  Engine answering(int bytes) {
    answerBytes = bytes;
    return this;
  }

  private void run(HttpExchange exchange) throws IOException {
    runs.incrementAndGet();
    note.accept("engine " + id + " runs " + exchange.getRequestHeaders().getFirst("Request-Id"));
    exchange.getResponseHeaders().set("Response-Signature", "sig." + runs.get());
    if (answerBytes > 0) {
      Rig.sleep(eventMillis);
      exchange.sendResponseHeaders(200, answerBytes);
      exchange.getResponseBody().write(new byte[answerBytes]);
      return;
    }
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.sendResponseHeaders(200, 0);
    OutputStream out = exchange.getResponseBody();
    for (int i = 1; i <= events; i++) {
      Rig.sleep(eventMillis);
      out.write(("id: " + i + "\ndata: piece" + i + "\n\n").getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
    out.close();
  }

  private static void respond(HttpExchange exchange, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(200, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
