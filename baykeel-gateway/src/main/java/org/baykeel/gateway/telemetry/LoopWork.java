package org.baykeel.gateway.telemetry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the event loop spends its time on, and how late it runs. Used only from the event loop.
 *
 * <p>The time of a kind of work includes what it leads to at once: that of engines, for example,
 * the writes to callers.
 */
public final class LoopWork {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Map<Kind, Spent> total = new EnumMap<>(Kind.class);
  private final Map<Kind, Spent> sinceReport = new EnumMap<>(Kind.class);
  private final Map<Class<?>, long[]> messages = new HashMap<>();
  private long maxLagNanos;
  private long reportedCpuMillis;

  /** A kind of work. */
  public enum Kind {
    /** Bytes of callers. */
    CALLERS,
    /** Bytes of engines in response to requests. */
    ENGINES,
    /** Load reports of engines. */
    REPORTS,
    /** Responses of the store. */
    STORE,
    /** Datagrams of other nodes. */
    PEERS,
    /** Tasks that were scheduled for a time. */
    TIMERS;

    /** Returns the name in metrics and logs. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** How often a kind of work was done, and how long it took in all. */
  private static final class Spent {
    private long count;
    private long nanos;

    private void add(long moreNanos) {
      count++;
      nanos += moreNanos;
    }
  }

  /** Creates counters that are zero. */
  public LoopWork() {
    for (Kind kind : Kind.values()) {
      total.put(kind, new Spent());
      sinceReport.put(kind, new Spent());
    }
  }

  /** Records that a piece of work has ended that began at a time of the monotonic clock. */
  public void done(Kind kind, long beganNanos) {
    long nanos = System.nanoTime() - beganNanos;
    total.get(kind).add(nanos);
    sinceReport.get(kind).add(nanos);
  }

  /** Does a piece of work and measures its time. */
  public void measure(Kind kind, Runnable piece) {
    long beganNanos = System.nanoTime();
    piece.run();
    done(kind, beganNanos);
  }

  /**
   * Counts a message of another node.
   *
   * @param type its type, one of a small set
   */
  public void received(Class<?> type) {
    messages.computeIfAbsent(type, key -> new long[1])[0]++;
  }

  /** Records by how much a scheduled task ran late. */
  public void late(long nanos) {
    maxLagNanos = Math.max(maxLagNanos, nanos);
  }

  /** Returns how often a kind of work was done. */
  public long count(Kind kind) {
    return total.get(kind).count;
  }

  /** Returns how long a kind of work took in all, in milliseconds. */
  public long millis(Kind kind) {
    return total.get(kind).nanos / NANOS_PER_MILLI;
  }

  /** Returns the messages of other nodes by type. */
  Map<String, long[]> messages() {
    Map<String, long[]> byName = new TreeMap<>();
    messages.forEach((type, count) -> byName.put(type.getSimpleName(), count));
    return byName;
  }

  /** Returns the processor time that this process has used, in milliseconds. */
  public static long processorMillis() {
    return ProcessHandle.current().info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
  }

  /** Returns the fields of a log line about the time since the last one, and begins anew. */
  List<Object> report() {
    long cpuMillis = processorMillis();
    List<Object> fields = new ArrayList<>();
    fields.addAll(List.of("cpu_ms", cpuMillis - reportedCpuMillis));
    sinceReport.forEach(
        (kind, spent) -> {
          fields.addAll(List.of(kind.label() + "_ms", spent.nanos / NANOS_PER_MILLI));
          fields.addAll(List.of(kind.label() + "_count", spent.count));
          spent.count = 0;
          spent.nanos = 0;
        });
    fields.addAll(List.of("lag_ms", maxLagNanos / NANOS_PER_MILLI));
    maxLagNanos = 0;
    reportedCpuMillis = cpuMillis;
    return fields;
  }
}
