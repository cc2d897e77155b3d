import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in of the platform's store, form "table": rows, transactions under conditions, feeds. */
final class Store {
  private record Row(String table, String part, String key, String value, long ver) {}

  private static final int MAX_ENTRIES = 100;
  private static final int MAX_BODY_BYTES = 1_000_000;
  private static final int MAX_VALUE_BYTES = 65_536;

  private final HttpServer server;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final long startNanos = System.nanoTime();
  private long version = 100;
  private boolean down;
  private volatile int latencyMillis = 4;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(Executors.newCachedThreadPool(Rig.daemon("store")));
    server.createContext("/", this::handle);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
  }

  /** While down, each call is answered 503, and nothing is done. */
  synchronized void setDown(boolean isDown) {
    down = isDown;
    notifyAll();
  }

  /** How long a call takes. */
  void setLatencyMillis(int millis) {
    latencyMillis = millis;
  }

  private synchronized boolean isDown() {
    return down;
  }

  /** Writes a row on behalf of the operator or an engine. */
  synchronized void put(String table, String key, String json) {
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    version++;
    rows.put(id(table, "", key), new Row(table, "", key, value, version));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    version++;
    rows.put(id(table, "", key), new Row(table, "", key, null, version));
    notifyAll();
  }

  /** Calls of all nodes by path. */
  final Map<String, Integer> calls = new TreeMap<>();

  private static String id(String table, String part, String key) {
    return table + "\0" + part + "\0" + key;
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String path = exchange.getRequestURI().getPath();
      byte[] body = exchange.getRequestBody().readAllBytes();
      synchronized (calls) {
        calls.merge(path, 1, Integer::sum);
      }
      Rig.sleep(latencyMillis);
      if (isDown()) {
        respond(exchange, 503, "{}");
        return;
      }
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      switch (path) {
        case "/rows-tx" -> transact(exchange, body);
        case "/rows-get" -> respond(exchange, 200, read(query));
        case "/rows-feed" -> feed(exchange, query);
        default -> respond(exchange, 404, "{}");
      }
    } catch (RuntimeException e) {
      System.err.println("store: " + e);
      throw e;
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  @SuppressWarnings("unchecked")
  private void transact(HttpExchange exchange, byte[] body) throws IOException {
    if (body.length > MAX_BODY_BYTES) {
      respond(exchange, 413, "{}");
      return;
    }
    Map<String, Object> tx =
        (Map<String, Object>) Json.parse(new String(body, StandardCharsets.UTF_8));
    List<Map<String, Object>> expected = list(tx.get("expectedRevision"));
    List<Map<String, Object>> puts = list(tx.get("put"));
    List<Map<String, Object>> removals = list(tx.get("remove"));
    boolean fits = expected.size() + puts.size() + removals.size() <= MAX_ENTRIES;
    for (Map<String, Object> put : puts) {
      fits &= ((String) put.get("value")).length() / 4 * 3 <= MAX_VALUE_BYTES;
    }
    if (!fits) {
      respond(exchange, 400, "{}");
      return;
    }
    int status = 200;
    String answer;
    synchronized (this) {
      List<Row> current = new ArrayList<>();
      for (Map<String, Object> one : expected) {
        Row row = rows.get(idOf(one));
        long ver = row == null || row.value() == null ? 0 : row.ver();
        if (ver != ((Number) one.get("ver")).longValue()) {
          status = 412;
        }
        if (ver != 0) {
          current.add(row);
        }
      }
      if (status == 200 && puts.size() + removals.size() > 0) {
        version++;
        for (Map<String, Object> one : puts) {
          rows.put(idOf(one), rowOf(one, (String) one.get("value")));
        }
        for (Map<String, Object> one : removals) {
          rows.put(idOf(one), rowOf(one, null));
        }
        notifyAll();
      }
      answer = status == 200 ? answer(List.of(), null) : answer(current, null);
    }
    respond(exchange, status, answer);
  }

  private Row rowOf(Map<String, Object> one, String value) {
    return new Row(
        (String) one.get("table"),
        (String) one.get("part"),
        (String) one.get("key"),
        value,
        version);
  }

  private static String idOf(Map<String, Object> one) {
    return id((String) one.get("table"), (String) one.get("part"), (String) one.get("key"));
  }

  @SuppressWarnings("unchecked")
  private static List<Map<String, Object>> list(Object value) {
    return value == null ? List.of() : (List<Map<String, Object>>) value;
  }

  private synchronized String read(Map<String, String> query) {
    String prefix = query.get("table") + "\0" + query.getOrDefault("part", "") + "\0";
    String from = prefix + query.getOrDefault("from", "");
    int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
    List<Row> found = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Row> entry : rows.tailMap(from, true).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getValue().value() != null) {
        if (found.size() == limit) {
          more = true;
          break;
        }
        found.add(entry.getValue());
      }
    }
    return answer(found, more);
  }

  private void feed(HttpExchange exchange, Map<String, String> query) throws IOException {
    long after = Long.parseLong(query.get("after"));
    long endNanos = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
    String answer;
    synchronized (this) {
      List<Row> changed = changedAfter(query.get("table"), after);
      while (changed.isEmpty() && !down) {
        long millis = (endNanos - System.nanoTime()) / 1_000_000;
        if (millis <= 0) {
          break;
        }
        try {
          wait(millis);
        } catch (InterruptedException e) {
          break;
        }
        changed = changedAfter(query.get("table"), after);
      }
      answer = down ? null : answer(changed, null);
    }
    respond(exchange, answer == null ? 503 : 200, answer == null ? "{}" : answer);
  }

  private List<Row> changedAfter(String table, long after) {
    List<Row> changed = new ArrayList<>();
    for (Row row : rows.values()) {
      if (row.table().equals(table) && row.ver() > after) {
        changed.add(row);
      }
    }
    changed.sort((a, b) -> Long.compare(a.ver(), b.ver()));
    return changed;
  }

  private String answer(List<Row> found, Boolean more) {
    StringBuilder out = new StringBuilder("{\"rows\":[");
    for (Row row : found) {
      out.append(out.charAt(out.length() - 1) == '[' ? "" : ",");
      out.append("{\"table\":").append(Json.quote(row.table()));
      out.append(",\"part\":").append(Json.quote(row.part()));
      out.append(",\"key\":").append(Json.quote(row.key()));
      out.append(row.value() == null ? ",\"gone\":true" : ",\"value\":" + Json.quote(row.value()));
      out.append(",\"ver\":").append(row.ver()).append('}');
    }
    out.append(']');
    if (more != null) {
      out.append(",\"more\":").append(more);
    }
    out.append(",\"ver\":").append(version);
    out.append(",\"now_ms\":").append((System.nanoTime() - startNanos) / 1_000_000);
    return out.append('}').toString();
  }

  private static void respond(HttpExchange exchange, int status, String json) throws IOException {
    byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
