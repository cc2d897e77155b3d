package org.baykeel.bench.demo;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.bench.client.CallerClient;
import org.baykeel.bench.replay.Promise;
import org.baykeel.bench.replay.ReplayLedger;
import org.baykeel.bench.replay.TraceReplay;
import org.baykeel.bench.trace.Trace;
import org.baykeel.bench.trace.TraceOutcomes;

/** Starts a deployment, replays its trace, checks the promises, and leaves nothing behind. */
public final class Demo {
  private static final int RELEASE_LIMIT_MILLIS = 15_000;
  private static final int POLL_MILLIS = 250;

  private final Deployment deployment;
  private final List<String> launcher;
  private final PrintStream out;
  private final DemoFault fault;

  /**
   * A demo.
   *
   * @param launcher the command that runs baykeel
   * @param fault what is done to the processes during the replay
   */
  public Demo(Deployment deployment, List<String> launcher, PrintStream out, DemoFault fault) {
    this.deployment = requireNonNull(deployment, "deployment");
    this.launcher = List.copyOf(launcher);
    this.out = requireNonNull(out, "out");
    this.fault = requireNonNull(fault, "fault");
  }

  /**
   * Runs the demo.
   *
   * @param hold true to keep everything up until the process is ended
   * @return the process's exit code
   */
  public int run(boolean hold) throws IOException, InterruptedException {
    try (Cluster cluster = new Cluster(deployment, launcher)) {
      Thread cleanup = new Thread(cluster::close);
      Runtime.getRuntime().addShutdownHook(cleanup);
      int code = run(cluster, hold);
      Runtime.getRuntime().removeShutdownHook(cleanup);
      return code;
    }
  }

  private int run(Cluster cluster, boolean hold) throws IOException, InterruptedException {
    cluster.start();
    if (!cluster.awaitReady("/health/live")) {
      out.println("the nodes did not start; see " + cluster.directory());
      return 1;
    }
    long version = cluster.declare(cluster.declarations());
    if (!cluster.awaitReady("/health/ready")) {
      out.println("the nodes did not become ready");
      return 1;
    }
    out.println("configuration " + version + " is in force on " + deployment.nodes() + " nodes");
    if (hold) {
      hold(cluster);
    }
    return replay(cluster);
  }

  private void hold(Cluster cluster) throws InterruptedException {
    String node = cluster.nodeAddresses().get(0);
    String key = "-H 'Authorization: Bearer " + cluster.apiKey() + "'";
    out.println("nodes: " + String.join(" ", cluster.nodeAddresses()));
    out.println("engines: " + cluster.engineAddresses());
    String model = deployment.models().get(0);
    out.println("curl " + key + " http://" + node + "/v1/programs -d '{\"class\":\"default\"}'");
    out.println(
        "curl -N "
            + key
            + " http://"
            + node
            + "/v1/chat/completions -d '{\"model\":\""
            + model
            + "\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'");
    out.println("curl http://" + node + "/operator/status");
    Thread.sleep(Long.MAX_VALUE);
  }

  private int replay(Cluster cluster) throws IOException, InterruptedException {
    String resource = "/traces/" + deployment.name();
    Trace trace = Trace.parse(resource, resource(resource + ".jsonl").lines().toList());
    TraceOutcomes stated = TraceOutcomes.parse(resource, resource(resource + ".outcomes.yaml"));
    ReplayLedger ledger = new ReplayLedger();
    CallerClient client = new CallerClient(cluster.nodeAddresses(), cluster.apiKey());
    TraceReplay replay = new TraceReplay(trace, client, ledger, "demo");
    Thread injector = new FaultInjector(cluster, fault, out).start();
    replay.run();
    injector.join();
    int nonRepeatable = replay.checkRuns(runs(cluster), deployment.notRepeatable());
    checkReleases(cluster, replay);
    checkOutcomes(stated, ledger, nonRepeatable);
    ledger.report().forEach(out::println);
    out.println(
        String.format(
            "demo %s: programs=%d completed=%d violations=%d",
            deployment.name(), ledger.programs(), ledger.completed(), ledger.violations()));
    return ledger.violations() == 0 && ledger.completed() == stated.completed() ? 0 : 1;
  }

  private static String resource(String path) throws IOException {
    try (InputStream in = Demo.class.getResourceAsStream(path)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private Map<String, Integer> runs(Cluster cluster) throws IOException {
    Map<String, Integer> runs = new HashMap<>();
    for (String address : cluster.toolAddresses()) {
      JsonNode counted = cluster.json(address, "/runs").path("runs");
      counted
          .fields()
          .forEachRemaining(
              entry -> runs.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
    }
    return runs;
  }

  /** Gives the releases that are on their way a moment, then looks. */
  private void checkReleases(Cluster cluster, TraceReplay replay)
      throws IOException, InterruptedException {
    long limit = System.currentTimeMillis() + RELEASE_LIMIT_MILLIS;
    while (System.currentTimeMillis() < limit && holdsEnded(cluster, replay)) {
      Thread.sleep(POLL_MILLIS);
    }
    for (Map.Entry<String, List<String>> engine : inventories(cluster).entrySet()) {
      replay.checkInventory(engine.getKey(), engine.getValue());
    }
  }

  private boolean holdsEnded(Cluster cluster, TraceReplay replay) throws IOException {
    return inventories(cluster).values().stream()
        .flatMap(List::stream)
        .anyMatch(replay.endedPrograms()::contains);
  }

  private Map<String, List<String>> inventories(Cluster cluster) throws IOException {
    Map<String, List<String>> inventories = new HashMap<>();
    for (Map.Entry<String, String> engine : cluster.engineAddresses().entrySet()) {
      boolean killed = engine.getKey().equals("engine-0") && !cluster.process("engine-0").isAlive();
      if (!killed) {
        List<String> programs = new ArrayList<>();
        cluster
            .json(engine.getValue(), "/v1/cache")
            .path("programs")
            .forEach(item -> programs.add(item.asText()));
        inventories.put(engine.getKey(), programs);
      }
    }
    return inventories;
  }

  private void checkOutcomes(TraceOutcomes stated, ReplayLedger ledger, int nonRepeatable) {
    check(ledger, "programs", stated.programs(), ledger.programs());
    check(ledger, "completed", stated.completed(), ledger.completed());
    check(ledger, "modelCalls", stated.modelCalls(), ledger.modelCalls());
    // A call whose outcome is unknown has no answer; it may have run once or not at all.
    int unknown = ledger.outcomesUnknown();
    check(ledger, "toolCalls", stated.toolCalls(), ledger.toolCalls() + unknown);
    int least = stated.nonRepeatableRuns() - unknown;
    int inRange = Math.max(least, Math.min(stated.nonRepeatableRuns(), nonRepeatable));
    check(ledger, "nonRepeatableRuns", inRange, nonRepeatable);
  }

  private void check(ReplayLedger ledger, String what, int expected, int seen) {
    if (expected != seen) {
      out.println(what + ": stated " + expected + ", seen " + seen);
      ledger.violation(Promise.WHOLE_ANSWER, what + " differs from what the trace states");
    }
  }
}
