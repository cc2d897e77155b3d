package review;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A sound platform store as PROTOCOL.md describes it: rows, conditional transactions, a feed. */
final class Store implements AutoCloseable {
  private static final long ANSWER_MILLIS = 4;

  private record Row(String table, String part, String key, String value, long ver) {
    String json() {
      return "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":"
          + Json.quote(key) + (value == null ? ",\"gone\":true" : ",\"value\":\"" + value + '"')
          + ",\"ver\":" + ver + '}';
    }
  }

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final Http.Server server;
  private long version = 100;

  Store(String host) throws IOException {
    server = new Http.Server(host, 0, this::handle);
  }

  int port() {
    return server.port();
  }

  private static String id(String table, String part, String key) {
    return table + '\n' + part + '\n' + key;
  }

  /** Writes a row for the operator or an engine; returns when the store has accepted it. */
  synchronized long put(String table, String key, String json) {
    version++;
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    rows.put(id(table, "", key), new Row(table, "", key, value, version));
    notifyAll();
    return Threads.now();
  }

  synchronized long remove(String table, String key) {
    version++;
    rows.put(id(table, "", key), new Row(table, "", key, null, version));
    notifyAll();
    return Threads.now();
  }

  private boolean handle(Http.Message request, Http.Connection connection) throws Exception {
    int question = request.target().indexOf('?');
    String path = question < 0 ? request.target() : request.target().substring(0, question);
    Map<String, String> query = query(question < 0 ? "" : request.target().substring(question + 1));
    String answer;
    int status = 200;
    Threads.sleep(ANSWER_MILLIS);
    switch (path) {
      case "/rows-tx" -> {
        StringBuilder body = new StringBuilder();
        status = transact(Json.object(Json.parse(request.text())), body);
        answer = body.toString();
      }
      case "/rows-get" -> answer = get(query);
      case "/rows-feed" -> answer = feed(query);
      default -> {
        status = 404;
        answer = "{}";
      }
    }
    Http.write(
        connection.out, Http.response(status, "Content-Type: application/json\r\n", answer));
    return true;
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private static String text(Object row, String field) {
    Object value = Json.object(row).get(field);
    return value == null ? "" : (String) value;
  }

  private synchronized int transact(Map<String, Object> transaction, StringBuilder body) {
    boolean holds = true;
    List<String> current = new ArrayList<>();
    for (Object expected : Json.list(transaction.get("expectedRevision"))) {
      Row row = rows.get(id(text(expected, "table"), text(expected, "part"), text(expected, "key")));
      boolean present = row != null && row.value() != null;
      long ver = ((Double) Json.object(expected).get("ver")).longValue();
      holds &= (present ? row.ver() : 0) == ver;
      if (present) {
        current.add(row.json());
      }
    }
    if (holds) {
      version++;
      for (Object put : Json.list(transaction.get("put"))) {
        add(put, text(put, "value"));
      }
      for (Object removal : Json.list(transaction.get("remove"))) {
        add(removal, null);
      }
      notifyAll();
    } else {
      body.append("{\"rows\":[").append(String.join(",", current)).append("],");
    }
    body.append(holds ? "{" : "").append(tail());
    return holds ? 200 : 412;
  }

  private void add(Object address, String value) {
    String table = text(address, "table");
    String part = text(address, "part");
    String key = text(address, "key");
    rows.put(id(table, part, key), new Row(table, part, key, value, version));
  }

  private String tail() {
    return "\"ver\":" + version + ",\"now_ms\":" + Threads.now() + '}';
  }

  private synchronized String get(Map<String, String> query) {
    int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
    String prefix = query.get("table") + '\n' + query.getOrDefault("part", "") + '\n';
    List<String> found = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Row> row : rows.tailMap(prefix + query.getOrDefault("from", ""), true).entrySet()) {
      if (!row.getKey().startsWith(prefix)) {
        break;
      }
      if (row.getValue().value() == null) {
        continue;
      }
      if (found.size() >= limit) {
        more = true;
        break;
      }
      found.add(row.getValue().json());
    }
    return "{\"rows\":[" + String.join(",", found) + "],\"more\":" + more + ',' + tail();
  }

  private synchronized String feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end = Threads.now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
    while (true) {
      List<Row> changed = new ArrayList<>();
      for (Row row : rows.values()) {
        if (row.table().equals(query.get("table")) && row.ver() > after) {
          changed.add(row);
        }
      }
      long left = end - Threads.now();
      if (!changed.isEmpty() || left <= 0) {
        changed.sort(Comparator.comparingLong(Row::ver));
        return "{\"rows\":[" + String.join(",", changed.stream().map(Row::json).toList()) + "],"
            + tail();
      }
      wait(left);
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
