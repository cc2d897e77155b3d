package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The nodes' open connections to the store go silent while new ones work; then an engine says that
 * it drains, serves on for a while, and ends.
 */
final class SilentCase {
  private static final int ENGINES = 3;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long DRAIN_MILLIS = 2_000;

  /** How long after the silence the engine drains. */
  private static final long DRAIN_AFTER_MILLIS = 200;

  /** How long the engine serves on after the store has taken that it drains: a little longer. */
  private static final long SERVES_ON_MILLIS = DRAIN_MILLIS + 1_500;

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[{"name":"r-desk","host":"review.example","pathPrefix":"/desk/",
      "kind":"streaming","timeoutMs":5000,"targetLatencyMs":200,"priority":0,"service":"pool",
      "attempts":2,"retain":true,"retentionS":60.0,"sessionAffinity":true,"resumable":false,
      "gapTargetMs":400},{"name":"r-pull","host":"review.example","pathPrefix":"/pull/",
      "kind":"unsafe","timeoutMs":6000,"targetLatencyMs":1200,"priority":2,"service":"api",
      "attempts":1}],
      "services":[{"name":"pool","healthPath":"/health","maxConnections":370,"protocol":"h1",
      "tls":false,"engine":{"slots":64,"kvCapacity":211374,"kvTokenBytes":18432,
      "linkMbps":370000.0,"stride":3,"models":[{"name":"m"}]}},
      {"name":"api","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],
      "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
      "idleTimeoutMs":15000}}
      """;

  private final AtomicInteger ids = new AtomicInteger();
  private final List<Caller.Outcome> outcomes = new CopyOnWriteArrayList<>();
  private volatile boolean loading = true;
  private volatile boolean turns = true;

  public static void main(String[] arguments) {
    Env.main(Path.of(arguments[0]), env -> new SilentCase().run(env));
  }

  private boolean run(Env env) throws Exception {
    Store store = env.add(new Store("127.0.0.1"));
    store.put("op", "config", CONFIGURATION);
    List<Proxy> proxies = new ArrayList<>();
    List<Node> nodes = new ArrayList<>();
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      Engine engine = env.add(new Engine("i-" + i, "api", env.address(101 + i), 6, 12, store));
      engine.workMillis = 300;
      engines.add(engine);
    }
    env.add(new Engine("i-m", "pool", env.address(110), 64, 8, store));
    Map<String, String> bounds =
        Map.of("bounds.drainMs", "2000", "bounds.graceS", "8", "bounds.configApplyMs", "2000");
    int[] ports = Env.freePorts(env.address(1), 3);
    for (int i = 1; i <= 2; i++) {
      Proxy proxy = env.add(new Proxy("127.0.0.1", store.port()));
      proxies.add(proxy);
      nodes.add(env.node("front-" + i, i, ports, proxy.port(), bounds));
    }
    nodes.forEach(node -> node.awaitReady(30_000));
    Threads.sleep(3_000);
    for (int i = 0; i < 12; i++) {
      Threads.start("calls", () -> calls(nodes.get(0)));
    }
    boolean broken = silenceAndDrain(env.trouble, store, nodes.get(1), proxies, engines.get(0));
    loading = false;
    if (outcomes.size() < 50) {
      throw new IllegalStateException("too few requests were answered for a verdict");
    }
    return broken;
  }

  /** Turns for some seconds, a rest, then the silence and an engine that leaves. */
  private boolean silenceAndDrain(
      boolean trouble, Store store, Node second, List<Proxy> proxies, Engine leaving)
      throws Exception {
    turns = true;
    for (int i = 0; i < 6; i++) {
      String program = "a" + i;
      Threads.start("turns", () -> turns(second, program));
    }
    Threads.sleep(5_000 + (System.nanoTime() / 1_000) % 2_000);
    turns = false;
    Threads.sleep(1_000);
    long silenced = Threads.now();
    if (trouble) {
      for (Proxy proxy : proxies) {
        Record.write("silent from now on: %d connections of a node to the store", proxy.silence());
      }
    }
    Threads.sleep(DRAIN_AFTER_MILLIS);
    long acknowledged = leaving.register("draining");
    Record.write("the store has taken that engine %s is draining", leaving.id);
    Threads.sleepUntil(acknowledged + SERVES_ON_MILLIS);
    Record.write("engine %s ends", leaving.id);
    leaving.close();
    store.remove("servers", leaving.id);
    Threads.sleep(3_500);
    return check(leaving, silenced, acknowledged);
  }

  private void calls(Node node) throws Exception {
    Caller caller = null;
    while (loading) {
      if (caller == null || caller.closedByNode()) {
        caller = new Caller(node);
      }
      String id = "u" + ids.incrementAndGet();
      byte[] body = ("pull " + id).getBytes();
      Caller.Outcome outcome =
          caller.exchange(
              Caller.request(
                  "POST", "/pull/x", "Request-Id: " + id + "\r\nDeadline-Ms: 6000\r\n", body.length),
              body,
              6_000);
      Record.write("%s answered by %s: %s", id, caller.node, outcome);
      outcomes.add(outcome);
      if (!outcome.whole || outcome.closes) {
        caller.close();
        caller = null;
      }
      Threads.sleep(40);
    }
  }

  private void turns(Node node, String program) throws Exception {
    String previous = null;
    for (int turn = 0; turns; turn++) {
      String id = "q" + program + "-" + turn;
      byte[] body = ("input " + id + "\n").getBytes();
      try (Caller caller = new Caller(node)) {
        Caller.Outcome outcome =
            caller.exchange(
                Caller.request(
                    "POST",
                    "/desk/t",
                    "Request-Id: " + id + "\r\nModel: m\r\nToken-Usage: 1000,33\r\n"
                        + "Prompt-Prefix: 5c1e:800," + program + ":200\r\nProgram-Id: " + program
                        + "\r\nSession-Id: " + program + "\r\nFinish-Ms: 60000\r\n"
                        + "Token-Budget: 100000\r\nDeadline-Ms: 5000\r\n"
                        + (previous == null ? "" : "Previous-Turn: " + previous + "\r\n"),
                    body.length),
                body,
                5_000);
        Record.write("%s answered by %s: %s", id, caller.node, outcome);
        previous = outcome.whole && outcome.status == 200 ? id : previous;
      }
      Threads.sleep(60);
    }
  }

  private boolean check(Engine leaving, long silenced, long acknowledged) {
    int late = 0;
    int lateInTouch = 0;
    int lost = 0;
    for (Engine.Run run : leaving.runs) {
      if (run.startMillis <= acknowledged + DRAIN_MILLIS) {
        continue;
      }
      late++;
      if (run.startMillis <= silenced + CONTACT_MILLIS) {
        continue;
      }
      lateInTouch++;
      lost += run.end.equals("whole") ? 0 : 1;
      Record.tell(
          "DRAIN: %s reached engine %s %d ms after the acknowledgement, %d ms after the silence; its run: %s",
          run.requestId,
          leaving.id,
          run.startMillis - acknowledged,
          run.startMillis - silenced,
          run.end);
    }
    Record.tell(
        "runs at the draining engine %d; later than drainMs %d; of these in touch (later than contactMs after the silence) %d, of which the engine's end cut %d",
        leaving.runs.size(), late, lateInTouch, lost);
    return lateInTouch > 0;
  }
}
