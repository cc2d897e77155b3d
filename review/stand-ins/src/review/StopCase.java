package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A node is stopped by SIGTERM while callers use kept connections for turns of several seconds. */
final class StopCase {
  private static final long GRACE_MILLIS = 8_000;
  private static final long DEADLINE_MILLIS = 5_000;
  private static final int PROGRAMS = 8;
  private static final int TURNS = 3;

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[{"name":"r-desk","host":"review.example","pathPrefix":"/desk/",
      "kind":"streaming","timeoutMs":5000,"targetLatencyMs":200,"priority":0,"service":"pool",
      "attempts":2,"retain":true,"retentionS":60.0,"sessionAffinity":true,"resumable":false,
      "gapTargetMs":400}],
      "services":[{"name":"pool","healthPath":"/health","maxConnections":370,"protocol":"h1",
      "tls":false,"engine":{"slots":64,"kvCapacity":211374,"kvTokenBytes":18432,
      "linkMbps":370000.0,"stride":3,"models":[{"name":"m"}]}}],
      "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
      "idleTimeoutMs":15000}}
      """;

  /** One client attempt. */
  private record Attempt(String requestId, String node, long sentMillis, Caller.Outcome outcome) {}

  private final List<Attempt> attempts = new CopyOnWriteArrayList<>();
  private final AtomicInteger ids = new AtomicInteger();
  private Node stopped;
  private Node other;
  private Engine first;
  private Engine second;

  public static void main(String[] arguments) {
    Env.main(Path.of(arguments[0]), env -> new StopCase().run(env));
  }

  private boolean run(Env env) throws Exception {
    Store store = env.add(new Store("127.0.0.1"));
    store.put("op", "config", CONFIGURATION);
    first = env.add(new Engine("i-a", "pool", env.address(101), 64, 8, store));
    second = env.add(new Engine("i-b", "pool", env.address(102), 64, 8, store));
    for (Engine engine : List.of(first, second)) {
      engine.events = 40;
      engine.eventMillis = 107;
    }
    Map<String, String> bounds =
        Map.of("bounds.drainMs", "2000", "bounds.graceS", "8", "bounds.configApplyMs", "2000");
    int[] ports = Env.freePorts(env.address(1), 3);
    stopped = env.node("front-1", 1, ports, store.port(), bounds);
    other = env.node("front-2", 2, ports, store.port(), bounds);
    stopped.awaitReady(30_000);
    other.awaitReady(30_000);
    Threads.sleep(4_000);

    long begin = Threads.now();
    for (int i = 0; i < PROGRAMS; i++) {
      int program = i;
      Threads.start("program", () -> program(program, begin + program * 20L));
    }
    long term = begin + PROGRAMS * 20L + 50;
    Threads.sleepUntil(term);
    if (env.trouble) {
      stopped.signal("TERM");
    }
    Threads.sleepUntil(term + GRACE_MILLIS);
    if (env.trouble && stopped.alive()) {
      stopped.signal("KILL");
    }
    Threads.sleepUntil(begin + TURNS * 5_000L + 4_000);
    return check(env.trouble, term);
  }

  /** The platform passes a new connection to a ready node; the programs begin at front-1. */
  private Caller connect(boolean begins) throws Exception {
    return begins || !other.ready() ? new Caller(stopped) : new Caller(other);
  }

  private void program(int program, long startMillis) throws Exception {
    Threads.sleepUntil(startMillis);
    Caller caller = connect(true);
    String previous = null;
    for (int turn = 0; turn < TURNS; turn++) {
      Caller.Outcome outcome = null;
      String requestId = null;
      for (int tries = 0; tries < 3 && (outcome == null || !outcome.whole || outcome.status != 200); tries++) {
        if (caller == null || caller.closedByNode()) {
          caller = connect(false);
        }
        requestId = "q" + program + "-" + turn + "-" + ids.incrementAndGet();
        String fields =
            "Request-Id: " + requestId + "\r\nModel: m\r\nToken-Usage: 1000,120\r\nPrompt-Prefix: 5c1e:800,a"
                + program + ":200\r\nProgram-Id: p" + program + "\r\nSession-Id: p" + program
                + "\r\nFinish-Ms: 30000\r\nToken-Budget: 100000\r\nDeadline-Ms: " + DEADLINE_MILLIS
                + "\r\n" + (previous == null ? "" : "Previous-Turn: " + previous + "\r\n");
        byte[] body = ("input of turn " + turn + "\n").getBytes();
        Record.write("%s sent to %s", requestId, caller.node);
        outcome =
            caller.exchange(
                Caller.request("POST", "/desk/t", fields, body.length), body, DEADLINE_MILLIS);
        Record.write("%s answered by %s: %s", requestId, caller.node, outcome);
        attempts.add(new Attempt(requestId, caller.node, outcome.sentMillis, outcome));
        if (!outcome.whole || outcome.closes) {
          caller.close();
          caller = null;
        }
      }
      previous = requestId;
      Threads.sleep(60);
    }
  }

  private Engine.Run run(String requestId) {
    for (Engine engine : List.of(first, second)) {
      for (Engine.Run run : engine.runs) {
        if (run.requestId.equals(requestId)) {
          return run;
        }
      }
    }
    return null;
  }

  /** LOST as written, with its excuses. */
  private boolean check(boolean trouble, long term) {
    int lost = 0;
    int whole = 0;
    for (Attempt attempt : attempts) {
      Caller.Outcome outcome = attempt.outcome();
      whole += outcome.whole && outcome.status == 200 ? 1 : 0;
      if (!outcome.cut) {
        continue;
      }
      Engine.Run run = run(attempt.requestId());
      boolean planned =
          trouble
              && attempt.node().equals(stopped.name)
              && outcome.endMillis >= term
              && outcome.endMillis <= term + GRACE_MILLIS + 1_000;
      boolean passedOn = run != null;
      boolean engineBrokeOff = run != null && run.end.equals("engine ended");
      long usedMillis = outcome.endMillis - outcome.sentMillis;
      boolean timeReached = usedMillis >= DEADLINE_MILLIS;
      boolean excusedByGrace =
          attempt.sentMillis() <= term + 3_000
              && run != null
              && run.endMillis >= term + GRACE_MILLIS * 5 / 6;
      boolean counts = planned && passedOn && !engineBrokeOff && !timeReached && !excusedByGrace;
      Record.tell(
          "%s cut: sent %d ms after SIGTERM, cut %d ms after it with %d of %d ms used, events received %d, run at engine: %s -> %s",
          attempt.requestId(),
          attempt.sentMillis() - term,
          outcome.endMillis - term,
          usedMillis,
          DEADLINE_MILLIS,
          outcome.events,
          run == null ? "none" : run.end,
          counts ? "LOST" : "excused or outside of planned work");
      lost += counts ? 1 : 0;
    }
    Record.tell("client attempts %d, answered whole %d, LOST %d", attempts.size(), whole, lost);
    if (whole < PROGRAMS) {
      throw new IllegalStateException("too few turns were answered for a verdict");
    }
    return lost > 0;
  }
}
