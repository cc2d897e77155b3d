package org.baykeel.core.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.configuration.Declarations.Engine;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberUpdate;

/**
 * Which engines this node watches. Each engine has a few watchers, chosen by rendezvous hash among
 * the members of its zone, or of all zones if its own has none; only they poll it.
 */
public final class EngineWatch {
  private static final double SIGNIFICANT_SHARE = 0.125;
  private static final long REFRESH_MILLIS = 5_000;

  private final MemberId self;
  private final int watchersPerEngine;
  private final Map<String, EngineReport> lastSpread = new HashMap<>();
  private final Set<String> watched = new HashSet<>();

  public EngineWatch(MemberId self, int watchersPerEngine) {
    this.self = requireNonNull(self, "self");
    this.watchersPerEngine = watchersPerEngine;
  }

  /** Chooses anew after a change of members or configuration. */
  public void reassign(ConfigurationImage configuration, List<MemberUpdate> active) {
    watched.clear();
    for (Engine engine : configuration.declarations().engines()) {
      if (watchers(engine, active).contains(self)) {
        watched.add(engine.name());
      }
    }
    lastSpread.keySet().retainAll(watched);
  }

  private List<MemberId> watchers(Engine engine, List<MemberUpdate> active) {
    List<MemberUpdate> near = new ArrayList<>(active);
    near.removeIf(member -> !member.address().zone().equals(engine.zone()));
    List<MemberUpdate> eligible = near.isEmpty() ? new ArrayList<>(active) : near;
    eligible.sort(
        Comparator.comparingLong(
            member ->
                -RendezvousHash.score(engine.name(), Integer.toString(member.id().nodeId()))));
    return eligible.stream().limit(watchersPerEngine).map(MemberUpdate::id).toList();
  }

  /** The engines that this node polls. */
  public Set<String> watched() {
    return Set.copyOf(watched);
  }

  /** True if a report differs enough from the last one spread, or that one is old. */
  public boolean isWorthSpreading(EngineReport report, int concurrency) {
    EngineReport last = lastSpread.get(report.engine());
    boolean worth = last == null || differs(last, report, concurrency);
    if (worth) {
      lastSpread.put(report.engine(), report);
    }
    return worth;
  }

  private static boolean differs(EngineReport last, EngineReport report, int concurrency) {
    int change = Math.abs(load(report) - load(last));
    return last.status() != report.status()
        || change >= Math.max(1, concurrency * SIGNIFICANT_SHARE)
        || report.observedAtMillis() - last.observedAtMillis() >= REFRESH_MILLIS;
  }

  private static int load(EngineReport report) {
    return report.running() + report.waiting();
  }
}
