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
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.message.PeerMessage.CacheInventory;
import org.baykeel.core.message.PeerMessage.EngineReports;
import org.baykeel.core.routing.ProgramIds;
import org.baykeel.core.routing.ShardRoutes;
import org.baykeel.core.scheduling.EngineDirectory;
import org.baykeel.core.scheduling.EngineWatch;

/** Polls the engines that this node watches, and passes on what they say. */
final class EngineMonitor {
  private static final int SPREAD_MILLIS = 1_000;

  private final MemberId self;
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
  private long nextSpreadMillis;
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
    this.self = requireNonNull(self, "self");
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
    if (now >= nextSpreadMillis) {
      nextSpreadMillis = now + SPREAD_MILLIS;
      spread();
    }
    if (now >= nextInventoryMillis) {
      nextInventoryMillis = now + settings.inventoryMillis();
      watch.watched().forEach(engine -> output.pollInventory(engine, engines.address(engine)));
    }
  }

  /** An engine that this node polled has answered, or has not; returns whether that is news. */
  boolean onPolled(EngineReport report) {
    EngineReport before = engines.report(report.engine());
    boolean statusChanged = before == null || before.status() != report.status();
    if (statusChanged) {
      output.event(LogEvent.ENGINE_STATUS, report.engine(), report.status());
    }
    watch.onPolled(report);
    if (statusChanged) {
      spread();
    }
    return engines.onReport(report);
  }

  /** Another watcher has spread a report; returns whether it is news. */
  boolean onPeerReport(EngineReport report) {
    watch.onPeerReport(report, links.now());
    return engines.onReport(report);
  }

  /** Sends what is due, one message for each receiver. */
  private void spread() {
    EngineWatch.DueReports due = watch.takeDue(links.now());
    if (due.everywhere().isEmpty() && due.near().isEmpty() && due.far().isEmpty()) {
      return;
    }
    for (MemberUpdate member : membership.activeMembers()) {
      List<EngineReport> reports = new ArrayList<>(due.everywhere());
      String zone = member.address().zone();
      due.near().stream().filter(report -> isIn(zone, report)).forEach(reports::add);
      due.far().stream().filter(report -> !isIn(zone, report)).forEach(reports::add);
      if (!reports.isEmpty() && !member.id().equals(self)) {
        links.send(member.id(), new EngineReports(reports));
      }
    }
  }

  private boolean isIn(String zone, EngineReport report) {
    Engine engine = configuration.get().engine(report.engine());
    return engine != null && engine.zone().equals(zone);
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
