package org.baykeel.core.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.configuration.Declarations.Engine;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberUpdate;

/**
 * Which engines this node watches, and which of their reports it spreads. Each engine has a few
 * watchers, chosen by rendezvous hash among the members of its zone, or of all zones if its own has
 * none. Only they poll it. The first of them spreads what it sees; another one does so only while
 * the first is silent.
 *
 * <p>Members of the engine's zone get every notable change of load, the others a refresh now and
 * then, and everybody a change of status at once: 600 engines told in full to each of 400 nodes
 * would take more than a node may spend on control.
 */
public final class EngineWatch {
  private static final double NOTABLE_SHARE = 0.25;
  private static final long NEAR_REFRESH_MILLIS = 4_000;
  private static final long FAR_REFRESH_MILLIS = 10_000;
  private static final long SILENCE_MILLIS = 6_000;

  private final MemberId self;
  private final int watchersPerEngine;
  private final Map<String, WatchedEngine> watched = new TreeMap<>();
  private final Map<String, Long> heardFromOthersMillis = new HashMap<>();

  /** What is due to be spread. */
  public record DueReports(
      List<EngineReport> everywhere, List<EngineReport> near, List<EngineReport> far) {}

  private static final class WatchedEngine {
    final int concurrency;
    final boolean first;
    EngineReport latest;
    EngineReport spreadNear;
    EngineReport spreadFar;

    WatchedEngine(int concurrency, boolean first) {
      this.concurrency = concurrency;
      this.first = first;
    }
  }

  public EngineWatch(MemberId self, int watchersPerEngine) {
    this.self = requireNonNull(self, "self");
    this.watchersPerEngine = watchersPerEngine;
  }

  /** Chooses anew after a change of members or configuration. */
  public void reassign(ConfigurationImage configuration, List<MemberUpdate> active) {
    Map<String, WatchedEngine> before = new HashMap<>(watched);
    watched.clear();
    for (Engine engine : configuration.declarations().engines()) {
      int rank = watchers(engine, active).indexOf(self);
      if (rank >= 0) {
        WatchedEngine item = new WatchedEngine(engine.concurrency(), rank == 0);
        WatchedEngine old = before.get(engine.name());
        if (old != null) {
          item.latest = old.latest;
          item.spreadNear = old.spreadNear;
          item.spreadFar = old.spreadFar;
        }
        watched.put(engine.name(), item);
      }
    }
    heardFromOthersMillis.keySet().retainAll(watched.keySet());
  }

  private List<MemberId> watchers(Engine engine, List<MemberUpdate> active) {
    List<MemberUpdate> eligible = new ArrayList<>(active);
    eligible.removeIf(member -> !member.address().zone().equals(engine.zone()));
    if (eligible.isEmpty()) {
      eligible.addAll(active);
    }
    eligible.sort(
        Comparator.comparingLong(
            member ->
                -RendezvousHash.score(engine.name(), Integer.toString(member.id().nodeId()))));
    return eligible.stream().limit(watchersPerEngine).map(MemberUpdate::id).toList();
  }

  /** The engines that this node polls. */
  public Set<String> watched() {
    return Set.copyOf(watched.keySet());
  }

  /** This node has polled an engine. */
  public void onPolled(EngineReport report) {
    WatchedEngine item = watched.get(report.engine());
    if (item != null) {
      item.latest = report;
    }
  }

  /** Another watcher has spread a report. */
  public void onPeerReport(EngineReport report, long nowMillis) {
    if (watched.containsKey(report.engine())) {
      heardFromOthersMillis.put(report.engine(), nowMillis);
    }
  }

  /** What is to be spread now; it counts as spread from here on. */
  public DueReports takeDue(long nowMillis) {
    DueReports due = new DueReports(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    watched.forEach((name, item) -> addDue(name, item, due, nowMillis));
    return due;
  }

  private void addDue(String name, WatchedEngine item, DueReports due, long nowMillis) {
    if (item.latest == null) {
      return;
    }
    boolean statusChanged =
        item.spreadNear == null || item.spreadNear.status() != item.latest.status();
    if (statusChanged) {
      due.everywhere().add(item.latest);
      item.spreadNear = item.latest;
      item.spreadFar = item.latest;
      return;
    }
    long heard = heardFromOthersMillis.getOrDefault(name, Long.MIN_VALUE / 2);
    if (!item.first && nowMillis - heard < SILENCE_MILLIS) {
      return;
    }
    if (isNotable(item) || age(item.spreadNear, nowMillis) >= NEAR_REFRESH_MILLIS) {
      due.near().add(item.latest);
      item.spreadNear = item.latest;
    }
    if (age(item.spreadFar, nowMillis) >= FAR_REFRESH_MILLIS) {
      due.far().add(item.latest);
      item.spreadFar = item.latest;
    }
  }

  private static boolean isNotable(WatchedEngine item) {
    int change = Math.abs(load(item.latest) - load(item.spreadNear));
    return change >= Math.max(1, item.concurrency * NOTABLE_SHARE);
  }

  private static long age(EngineReport report, long nowMillis) {
    return nowMillis - report.observedAtMillis();
  }

  private static int load(EngineReport report) {
    return report.running() + report.waiting();
  }
}
