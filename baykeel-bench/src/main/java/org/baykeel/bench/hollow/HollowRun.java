package org.baykeel.bench.hollow;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Measures the control plane of a fleet of hollow nodes against the limits of letter 1. */
public final class HollowRun {
  private static final double CORE_LIMIT_PERCENT = 2.7;
  private static final double MEMORY_LIMIT_MB = 256;
  private static final double TRAFFIC_LIMIT_KB = 19;
  private static final int FORCE_LIMIT_MILLIS = 14_000;
  private static final int TENANTS = 380;
  private static final int DIGITS = 3;
  private static final int RACK = 10;

  private final int nodeCount;
  private final int engineCount;
  private final int shardCount;
  private final PrintStream out;
  private final HollowFleet fleet;

  /** A measurement that has not begun. */
  public HollowRun(int nodeCount, int engineCount, int shardCount, long seed, PrintStream out) {
    this.nodeCount = nodeCount;
    this.engineCount = engineCount;
    this.shardCount = shardCount;
    this.out = requireNonNull(out, "out");
    this.fleet = new HollowFleet(nodeCount, engineCount, shardCount, seed);
  }

  /** Figures of the steady state, for slopes. */
  public record Steady(double corePercent, double kilobytesPerSecond, double heapMegabytes) {}

  private void line(String format, Object... arguments) {
    out.println(String.format(Locale.ROOT, format, arguments));
  }

  /**
   * Runs the measurement.
   *
   * @param faults true to go on from the steady state to failures
   */
  public Steady run(boolean faults) {
    line("hollow: nodes=%d engines=%d shards=%d", nodeCount, engineCount, shardCount);
    long before = usedHeap();
    fleet.start();
    long formed = fleet.runUntil(300_000, HollowFleet::allLed);
    line("all shards led after %d ms", formed);
    declare(TENANTS);
    fleet.run(20_000);
    Steady steady = steady(before);
    convergence();
    if (faults) {
      falseSuspicions();
      machine();
      group("rack", 1, RACK);
      group("zone", 2, nodeCount / HollowFleet.ZONES);
      regionCut();
    }
    return steady;
  }

  private static long usedHeap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private void declare(int tenants) {
    HollowNode node = fleet.nodes().get(0);
    node.measured(
        () -> {
          var plan = node.core().configuration().plan(fleet.declarations(tenants));
          node.core().confirm(plan, fleet.time().millis(), outcome -> {});
        });
  }

  private Steady steady(long heapBefore) {
    int seconds = 30;
    fleet.nodes().forEach(HollowNode::resetCounters);
    fleet.run(seconds * 1_000L);
    double bytes = 0;
    double nanos = 0;
    for (TrafficKind kind : TrafficKind.values()) {
      double kindBytes = 0;
      double kindMessages = 0;
      for (HollowNode node : fleet.nodes()) {
        kindBytes += node.sent().get(kind).bytes;
        kindMessages += node.sent().get(kind).messages;
      }
      bytes += kindBytes;
      line(
          "  %-15s %8.3f KB/s %8.2f messages/s a node",
          kind, kindBytes / nodeCount / seconds / 1_000, kindMessages / nodeCount / seconds);
    }
    for (HollowNode node : fleet.nodes()) {
      nanos += node.busyNanos();
    }
    double kilobytes = bytes / nodeCount / seconds / 1_000;
    double core = 100 * nanos / nodeCount / (seconds * 1e9);
    double heap = (usedHeap() - heapBefore) / (double) nodeCount / 1e6;
    line("sent a node: %.2f KB/s (limit %.0f)", kilobytes, TRAFFIC_LIMIT_KB);
    line(
        "processor a node: %.2f%% of a core (limit %.1f%%; 20 ticks a second, no sockets)",
        core, CORE_LIMIT_PERCENT);
    line("heap a node: %.2f MB (limit %.0f)", heap, MEMORY_LIMIT_MB);
    return new Steady(core, kilobytes, heap);
  }

  private void convergence() {
    Histogram millis = new Histogram(DIGITS);
    for (int change = 1; change <= 5; change++) {
      long wanted = fleet.nodes().get(0).core().configuration().image().version() + 1;
      long started = fleet.time().millis();
      declare(TENANTS + change);
      List<HollowNode> waiting = new ArrayList<>(fleet.nodes());
      while (!waiting.isEmpty() && fleet.time().millis() - started < 60_000) {
        fleet.run(5);
        long now = fleet.time().millis();
        waiting.removeIf(
            node -> {
              boolean has = node.core().configuration().image().version() >= wanted;
              if (has) {
                millis.recordValue(now - started);
              }
              return has;
            });
      }
    }
    line(
        "configuration in force, 5 changes: p50=%d p99=%d max=%d ms (limit %d)",
        millis.getValueAtPercentile(50),
        millis.getValueAtPercentile(99),
        millis.getMaxValue(),
        FORCE_LIMIT_MILLIS);
  }

  private void falseSuspicions() {
    long before = fleet.refutations();
    fleet.loss(0.01);
    fleet.run(60_000);
    fleet.loss(0);
    line("false suspicions in 60 s under 1%% loss: %d", fleet.refutations() - before);
    fleet.run(5_000);
  }

  private void machine() {
    HollowNode gone = fleet.nodes().get(nodeCount / 2);
    gone.kill();
    long[] first = {-1};
    long started = fleet.time().millis();
    long all =
        fleet.runUntil(
            60_000,
            item -> {
              int believers = item.believersInDeath(gone);
              if (believers > 0 && first[0] < 0) {
                first[0] = item.time().millis() - started;
              }
              return believers == item.running();
            });
    line("machine fails: first node knows after %d ms, all after %d ms", first[0], all);
    restore("machine", List.of(gone));
  }

  private void group(String what, int zone, int size) {
    List<HollowNode> gone = new ArrayList<>();
    for (HollowNode node : fleet.nodes()) {
      boolean sameZone = node.address().zone().equals("zone-" + zone);
      if (sameZone && gone.size() < size) {
        gone.add(node);
      }
    }
    gone.forEach(HollowNode::kill);
    long led = fleet.runUntil(60_000, HollowFleet::allLed);
    line("%s of %d nodes fails: every shard led again after %d ms", what, gone.size(), led);
    restore(what, gone);
  }

  /** All copies are there again, on other nodes; then the lost nodes come back empty. */
  private void restore(String what, List<HollowNode> gone) {
    long complete = fleet.runUntil(300_000, HollowFleet::allComplete);
    line("%s: all shards have five running copies after %d ms", what, complete);
    gone.forEach(HollowNode::start);
    fleet.run(30_000);
  }

  private void regionCut() {
    fleet.cutRegions(true);
    int[] unled = new int[10];
    for (int i = 0; i < unled.length; i++) {
      fleet.run(30_000);
      unled[i] = fleet.unledShards();
    }
    line("regions cut for 5 minutes: shards without leader every 30 s: %s", Arrays.toString(unled));
    fleet.cutRegions(false);
    long led = fleet.runUntil(120_000, HollowFleet::allLed);
    long complete = fleet.runUntil(300_000, HollowFleet::allComplete);
    line("regions joined: all led after %d ms, all complete after %d ms more", led, complete);
  }
}
