package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine hands out a second, late copy of a few of its answers, here of its refusals while it is
 * full. The copy comes in the place where the next answer on that connection is expected.
 */
final class GarbleCase {
  private static final int NODES = 11;
  private static final int ENGINES = 2;

  /** The engines that spoil answers: a share of 0.5. */
  private static final int SPOILING = 1;

  /** The part of their answers that is followed by a late extra one. */
  private static final double SPOILED = 0.03;

  /** How long the disruption lasts each time, and the pause between two times. */
  private static final long SPOILS_MILLIS = 5_000;

  private static final long PAUSE_MILLIS = 2_000;

  private static final int SLOTS = 6;
  private static final int QUEUE = 2;
  private static final long WORK_MILLIS = 40;

  private static final long DEADLINE_MILLIS = 6_000;

  /** Nearly as much as the engines can run, so that they are full at times. */
  private static final double PER_SECOND = 0.95 * ENGINES * SLOTS * 1_000 / WORK_MILLIS;

  private static final long LOAD_MILLIS = 63_000;

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[{"name":"r-pull","host":"review.example","pathPrefix":"/pull/",
      "kind":"unsafe","timeoutMs":6000,"targetLatencyMs":1200,"priority":2,"service":"api",
      "attempts":1}],
      "services":[{"name":"api","healthPath":"/health","maxConnections":110,"protocol":"h1",
      "tls":false}],
      "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
      "idleTimeoutMs":15000}}
      """;

  /** When the load began; 0 before that. */
  private volatile long loadBeganMillis;

  private final AtomicInteger extras = new AtomicInteger();
  private final AtomicInteger extraRefusals = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger refused503 = new AtomicInteger();
  private final Map<Integer, Integer> statuses = new HashMap<>();
  private final List<Caller.Outcome> outcomes = new ArrayList<>();
  private final Map<String, Integer> answered = new HashMap<>();

  public static void main(String[] arguments) {
    Env.main(Path.of(arguments[0]), env -> new GarbleCase().run(env));
  }

  /** An engine that sends some answers a second time, when the next request has arrived. */
  private final class Garbling extends Engine {
    private final Random random = new Random(7);
    private final boolean spoils;

    Garbling(String id, String host, boolean spoils, Store store) throws IOException {
      super(id, "api", host, SLOTS, QUEUE, store);
      this.spoils = spoils;
    }

    @Override
    boolean handle(Http.Message request, Http.Connection connection) throws Exception {
      if (connection.attachment instanceof String extra) {
        connection.attachment = null;
        extras.incrementAndGet();
        Record.write("engine %s sends a late extra answer before it handles %s: %s", id,
            request.header("Request-Id"), extra.replace("\r\n", " | "));
        Http.write(connection.out, extra);
      }
      return super.handle(request, connection);
    }

    @Override
    void refused(String requestId, Http.Connection connection) {
      if (spoils()) {
        extraRefusals.incrementAndGet();
        connection.attachment =
            Http.response(503, "Not-Executed: 1\r\nRequest-Id: " + requestId + "\r\n", "");
      }
    }

    private synchronized boolean spoils() {
      long sinceBegin = Threads.now() - loadBeganMillis;
      boolean disrupted =
          loadBeganMillis > 0 && sinceBegin % (SPOILS_MILLIS + PAUSE_MILLIS) < SPOILS_MILLIS;
      return spoils && disrupted && random.nextDouble() < SPOILED;
    }
  }

  private boolean run(Env env) throws Exception {
    Store store = env.add(new Store("127.0.0.1"));
    store.put("op", "config", CONFIGURATION);
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      boolean spoils = env.trouble && i < SPOILING;
      Engine engine = env.add(new Garbling("i-" + i, env.address(101 + i), spoils, store));
      engine.workMillis = WORK_MILLIS;
      engines.add(engine);
    }
    Map<String, String> bounds =
        Map.of("bounds.drainMs", "2000", "bounds.graceS", "8", "bounds.configApplyMs", "2000");
    int[] ports = Env.freePorts(env.address(1), 3);
    List<Node> nodes = new ArrayList<>();
    for (int i = 1; i <= NODES; i++) {
      nodes.add(env.node("front-" + i, i, ports, store.port(), bounds));
    }
    nodes.forEach(node -> node.awaitReady(30_000));
    Threads.sleep(4_000);
    Random random = new Random(11);
    long begin = Threads.now();
    loadBeganMillis = begin;
    double at = begin;
    int number = 0;
    while (at < begin + LOAD_MILLIS) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / PER_SECOND;
      Threads.sleepUntil((long) at);
      Node node = nodes.get(random.nextInt(nodes.size()));
      int job = number++;
      Threads.start("job", () -> job(node, job));
    }
    Threads.sleep(DEADLINE_MILLIS + 1_000);
    return check(engines);
  }

  private void job(Node node, int job) throws Exception {
    String requestId = "u" + job;
    String fields =
        "Request-Id: " + requestId + "\r\nCookie: Affinity-Key=" + job % 97 + "\r\nDeadline-Ms: "
            + DEADLINE_MILLIS + "\r\n";
    byte[] body = ("pull " + job).getBytes();
    sent.incrementAndGet();
    Caller.Outcome outcome;
    try (Caller caller = new Caller(node)) {
      outcome =
          caller.exchange(
              Caller.request("POST", "/pull/x", fields, body.length), body, DEADLINE_MILLIS);
    }
    Record.write("%s answered by %s: %s", requestId, node.name, outcome);
    synchronized (this) {
      statuses.merge(outcome.status, 1, Integer::sum);
      answered.put(requestId, outcome.status);
      outcomes.add(outcome);
    }
  }

  private synchronized boolean check(List<Engine> engines) {
    Map<String, Integer> runs = new HashMap<>();
    for (Engine engine : engines) {
      for (Engine.Run run : engine.runs) {
        runs.merge(run.requestId, 1, Integer::sum);
      }
    }
    int twice = 0;
    int refusedAndRun = 0;
    for (Map.Entry<String, Integer> run : runs.entrySet()) {
      Integer status = answered.get(run.getKey());
      if (run.getValue() > 1) {
        twice++;
        Record.tell("TWICE: %s ran %d times, answered %s", run.getKey(), run.getValue(), status);
      }
      if (status != null && (status == 503 || status == 429 || status == 408 || status == 421)) {
        refusedAndRun++;
        Record.tell("REFUSED: %s ran %d times, answered %s", run.getKey(), run.getValue(), status);
      }
    }
    Record.tell(
        "requests %d, statuses %s, refusals by engines that were sent a second time %d, sent extras %d, TWICE %d, REFUSED %d",
        sent.get(), statuses, extraRefusals.get(), extras.get(), twice, refusedAndRun);
    return twice > 0;
  }
}
