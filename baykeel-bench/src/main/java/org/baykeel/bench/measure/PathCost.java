package org.baykeel.bench.measure;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.baykeel.bench.client.CallerClient;
import org.baykeel.bench.client.OperatorClient;
import org.baykeel.bench.demo.Cluster;
import org.baykeel.bench.demo.Deployment;

/**
 * What the nodes add to a call: the same short call, in turn, straight to an engine and through a
 * node, and how many calls a second one node carries.
 */
public final class PathCost {
  private static final int WARM_UP_CALLS = 400;
  private static final int CALLS = 1_500;
  private static final int CALLERS = 32;
  private static final int SECONDS = 8;
  private static final int DIGITS = 3;
  private static final int NANOS_PER_MICRO = 1_000;

  private final List<String> launcher;
  private final PrintStream out;

  /**
   * A measurement.
   *
   * @param launcher the command that runs baykeel
   */
  public PathCost(List<String> launcher, PrintStream out) {
    this.launcher = List.copyOf(launcher);
    this.out = requireNonNull(out, "out");
  }

  /** Runs the measurement and prints its figures. */
  public void run() throws IOException, InterruptedException {
    try (Cluster cluster = Cluster.withFastEngines(Deployment.ASSOCIATION, launcher)) {
      cluster.start();
      cluster.awaitReady("/health/live");
      cluster.declare(cluster.declarations());
      cluster.awaitReady("/health/ready");
      latency(cluster);
      throughput(cluster);
    }
  }

  private void latency(Cluster cluster) {
    String engine = cluster.engineAddresses().get("engine-0");
    CallerClient direct = new CallerClient(List.of(engine), "");
    CallerClient through = new CallerClient(cluster.nodeAddresses(), cluster.apiKey());
    String program = createProgram(through, "latency");
    Histogram directMicros = new Histogram(DIGITS);
    Histogram throughMicros = new Histogram(DIGITS);
    for (int i = 0; i < WARM_UP_CALLS + CALLS; i++) {
      long directNanos = time(() -> direct.stream(Map.of("X-Request-Id", "d"), chat()));
      long throughNanos = time(() -> through.stream(Map.of("Baykeel-Program", program), chat()));
      if (i >= WARM_UP_CALLS) {
        directMicros.recordValue(directNanos / NANOS_PER_MICRO);
        throughMicros.recordValue(throughNanos / NANOS_PER_MICRO);
      }
    }
    print("direct to an engine", directMicros);
    print("through the nodes", throughMicros);
    out.printf(
        "added by the nodes: p50=%d us p99=%d us (3 nodes, 3 copies, any node as edge)%n",
        throughMicros.getValueAtPercentile(50) - directMicros.getValueAtPercentile(50),
        throughMicros.getValueAtPercentile(99) - directMicros.getValueAtPercentile(99));
  }

  private static byte[] chat() {
    return ("{\"model\":\"form-assistant\",\"max_tokens\":1,\"stream\":true,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}")
        .getBytes(StandardCharsets.UTF_8);
  }

  private static String createProgram(CallerClient client, String key) {
    byte[] body = "{\"class\":\"review\"}".getBytes(StandardCharsets.UTF_8);
    CallerClient.Answer answer =
        client.call("POST", "/v1/programs", Map.of("Idempotency-Key", key), body);
    int start = answer.text().indexOf("\"id\":\"") + 6;
    return answer.text().substring(start, answer.text().indexOf('"', start));
  }

  private static long time(Runnable call) {
    long started = System.nanoTime();
    call.run();
    return System.nanoTime() - started;
  }

  private void print(String what, Histogram micros) {
    out.printf(
        "%s: p50=%d us p99=%d us (%d calls)%n",
        what,
        micros.getValueAtPercentile(50),
        micros.getValueAtPercentile(99),
        micros.getTotalCount());
  }

  /** Lookups, each in a program of its own, all through one node. */
  private void throughput(Cluster cluster) throws InterruptedException {
    String node = cluster.nodeAddresses().get(0);
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    long until = System.nanoTime() + SECONDS * 1_000_000_000L;
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      CallerClient client = new CallerClient(List.of(node), cluster.apiKey());
      String key = "throughput-" + i;
      Thread thread = new Thread(() -> lookUp(client, key, until, answered, refused));
      callers.add(thread);
      thread.start();
    }
    for (Thread thread : callers) {
      thread.join();
    }
    out.printf(
        "one node as edge: %d calls/s with %d callers (%d refused); each call is two commits%n",
        answered.get() / SECONDS, CALLERS, refused.get());
    OperatorClient.Answer metrics = new OperatorClient(node, "").get("/metrics");
    metrics.body().lines().filter(line -> line.startsWith("baykeel_peer")).forEach(out::println);
  }

  private static void lookUp(
      CallerClient client, String key, long until, AtomicInteger answered, AtomicInteger refused) {
    String program = createProgram(client, key);
    byte[] body = "x".getBytes(StandardCharsets.UTF_8);
    int calls = 0;
    while (System.nanoTime() < until) {
      if (calls++ % 40 == 39) {
        program = createProgram(client, key + "-" + calls);
      }
      CallerClient.Answer answer =
          client.call("POST", "/v1/tools/tablet/lookup", Map.of("Baykeel-Program", program), body);
      (answer.isSuccess() ? answered : refused).incrementAndGet();
    }
  }
}
