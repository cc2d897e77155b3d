package review;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound engine as PROTOCOL.md describes it: registers itself in the store, runs at most
 * {@code slots} requests at once, queues a few more, refuses others with Not-Executed, drops a
 * request once its connection closes, and records what it runs.
 */
class Engine implements AutoCloseable {
  /** One run of a request. */
  static final class Run {
    final String requestId;
    final String path;
    final long startMillis;
    volatile long endMillis = -1;
    volatile String end = "running";

    Run(String requestId, String path) {
      this.requestId = requestId;
      this.path = path;
      this.startMillis = Threads.now();
    }
  }

  private static final AtomicInteger SIGNATURES = new AtomicInteger();

  final String id;
  final String service;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  private final Store store;
  private final String address;
  private final int slots;
  private final int queue;
  private final Semaphore free;
  private final AtomicInteger taken = new AtomicInteger();
  private final Http.Server server;
  private volatile boolean ended;

  /** How long a plain request takes, in milliseconds. */
  volatile long workMillis = 30;

  /** Events of a stream, and the time before each. */
  volatile int events = 11;

  volatile long eventMillis = 40;

  Engine(String id, String service, String host, int slots, int queue, Store store)
      throws IOException {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.queue = queue;
    this.store = store;
    this.free = new Semaphore(slots, true);
    this.server = new Http.Server(host, 0, this::handle);
    this.address = host + ':' + server.port();
    register("ready");
  }

  /** Writes the entry; returns when the store has accepted it. */
  final long register(String phase) {
    return store.put(
        "servers",
        id,
        ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"hall-a\",\"version\":\"v1\","
                + "\"slots\":%d,\"phase\":\"%s\",\"coldRemainingMs\":0,\"sequence\":1}")
            .formatted(service, address, slots, phase));
  }

  boolean handle(Http.Message request, Http.Connection connection) throws Exception {
    String requestId = request.header("Request-Id");
    String expected = request.header("Expect-Instance");
    String echo = requestId == null ? "" : "Request-Id: " + requestId + "\r\n";
    if (expected != null && !expected.equals(id)) {
      answer(connection, 421, "Not-Executed: 1\r\nInstance-Id: " + id + "\r\n" + echo, "");
      return true;
    }
    if (request.target().equals("/report")) {
      answer(
          connection,
          200,
          "Content-Type: application/json\r\n",
          ("{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                  + "\"busy\":false,\"sequence\":1,\"waiting\":%d,\"running\":%d,\"kvUsed\":0,"
                  + "\"kvTotal\":200000,\"handles\":0}")
              .formatted(Math.max(0, taken.get() - slots), Math.min(slots, taken.get())));
      return true;
    }
    if (request.target().equals("/health")) {
      answer(connection, 200, "Instance-Id: " + id + "\r\n", "");
      return true;
    }
    if (requestId == null) {
      answer(connection, 400, "Not-Executed: 1\r\n", "");
      return true;
    }
    if (taken.incrementAndGet() > slots + queue) {
      taken.decrementAndGet();
      Record.write("engine %s refuses %s with 503 Not-Executed", id, requestId);
      answer(connection, 503, "Not-Executed: 1\r\n" + echo, "");
      refused(requestId, connection);
      return true;
    }
    free.acquire();
    try {
      return run(request, requestId, echo, connection);
    } finally {
      free.release();
      taken.decrementAndGet();
    }
  }

  /** Called after a refusal was sent. */
  void refused(String requestId, Http.Connection connection) throws IOException {}

  /** Called when a run begins, before anything is sent. */
  void began(Run run, Http.Connection connection) throws IOException {}

  private boolean run(
      Http.Message request, String requestId, String echo, Http.Connection connection)
      throws Exception {
    Run run = new Run(requestId, request.target());
    runs.add(run);
    Record.write("engine %s runs %s %s", id, requestId, request.target());
    String signature = "Response-Signature: s" + SIGNATURES.incrementAndGet() + "\r\n";
    try {
      began(run, connection);
      if (request.header("Token-Usage") == null) {
        work(workMillis, connection);
        answer(connection, 200, echo + signature, "result of " + requestId + "x".repeat(700));
      } else {
        Http.write(
            connection.out,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + echo + signature + "\r\n");
        for (int event = 1; event <= events; event++) {
          work(eventMillis, connection);
          String text = "id: " + event + "\ndata: " + requestId + "-" + event + "\n\n";
          Http.write(
              connection.out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        Http.write(connection.out, "0\r\n\r\n");
      }
      run.end = "whole";
      return true;
    } catch (IOException e) {
      run.end = ended ? "engine ended" : "connection closed by the node";
      throw e;
    } finally {
      run.endMillis = Threads.now();
      Record.write("engine %s ends %s: %s", id, requestId, run.end);
    }
  }

  /** Works for some time; stops early if the connection closes. */
  private static void work(long millis, Http.Connection connection) throws IOException {
    long end = Threads.now() + millis;
    while (true) {
      long left = end - Threads.now();
      if (left <= 0) {
        return;
      }
      connection.socket.setSoTimeout((int) Math.min(left, 1_000));
      connection.in.mark(1);
      try {
        if (connection.in.read() < 0) {
          throw new IOException("connection closed");
        }
        // A further request waits on the connection; it is read after this one.
        connection.in.reset();
        Threads.sleep(left);
        return;
      } catch (SocketTimeoutException e) {
        // Still open.
      } finally {
        connection.socket.setSoTimeout(0);
      }
    }
  }

  static void answer(Http.Connection connection, int status, String fields, String body)
      throws IOException {
    Http.write(connection.out, Http.response(status, fields, body));
  }

  /** Ends the process of the engine: its port and its connections close. */
  @Override
  public void close() throws IOException {
    ended = true;
    server.close();
  }
}
