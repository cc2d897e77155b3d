package org.baykeel.core.node;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.configuration.Declarations.Engine;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.membership.Membership;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.PeerMessage.CacheInventory;
import org.baykeel.core.message.PeerMessage.EngineReports;
import org.baykeel.core.routing.ProgramIds;
import org.baykeel.core.routing.ShardRoutes;
import org.baykeel.core.scheduling.EngineDirectory;
import org.baykeel.core.scheduling.EngineWatch;

/** Polls the engines that this node watches, and passes on what they say. */
final class EngineMonitor {
  private final SchedulingSettings settings;
  private final int shardCount;
  private final NodeOutput output;
  private final NodeLinks links;
  private final Membership membership;
  private final ShardRoutes routes;
  private final Supplier<ConfigurationImage> configuration;
  private final EngineDirectory engines;
  private final EngineWatch watch;
  private boolean outdated = true;
  private long nextPollMillis;
  private long nextInventoryMillis;

  EngineMonitor(
      MemberId self,
      NodeSettings settings,
      NodeOutput output,
      NodeLinks links,
      Membership membership,
      ShardRoutes routes,
      Supplier<ConfigurationImage> configuration,
      EngineDirectory engines) {
    this.settings = settings.scheduling();
    this.shardCount = settings.bootstrap().shardCount();
    this.output = requireNonNull(output, "output");
    this.links = requireNonNull(links, "links");
    this.membership = requireNonNull(membership, "membership");
    this.routes = requireNonNull(routes, "routes");
    this.configuration = requireNonNull(configuration, "configuration");
    this.engines = requireNonNull(engines, "engines");
    this.watch = new EngineWatch(self, this.settings.watchersPerEngine());
  }

  /** Members or configuration have changed: the watchers are chosen anew. */
  void outdate() {
    outdated = true;
  }

  /** Lets time pass. */
  void tick() {
    if (outdated) {
      outdated = false;
      watch.reassign(configuration.get(), membership.activeMembers());
    }
    long now = links.now();
    if (now >= nextPollMillis) {
      nextPollMillis = now + settings.pollMillis();
      watch.watched().forEach(engine -> output.pollEngine(engine, engines.address(engine)));
    }
    if (now >= nextInventoryMillis) {
      nextInventoryMillis = now + settings.inventoryMillis();
      watch.watched().forEach(engine -> output.pollInventory(engine, engines.address(engine)));
    }
  }

  /** An engine that this node polled has answered, or has not; returns whether that is news. */
  boolean onPolled(EngineReport report) {
    EngineReport before = engines.report(report.engine());
    if (before == null || before.status() != report.status()) {
      output.event(LogEvent.ENGINE_STATUS, report.engine(), report.status());
    }
    Engine engine = configuration.get().engine(report.engine());
    if (engine != null && watch.isWorthSpreading(report, engine.concurrency())) {
      links.sendToOthers(new EngineReports(List.of(report)));
    }
    return engines.onReport(report);
  }

  /** An engine has told which programs it caches: their shards' leaders compare. */
  void onInventory(String engine, Collection<String> programIds) {
    Map<Integer, List<String>> byShard = new TreeMap<>();
    for (String programId : programIds) {
      int shard = ProgramIds.shardOf(programId, shardCount);
      if (shard >= 0) {
        byShard.computeIfAbsent(shard, key -> new ArrayList<>()).add(programId);
      }
    }
    byShard.forEach(
        (shard, ids) -> links.send(routes.leader(shard), new CacheInventory(shard, engine, ids)));
  }
}
