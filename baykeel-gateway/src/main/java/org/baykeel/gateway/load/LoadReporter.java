package org.baykeel.gateway.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.RendezvousOrder;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.topology.Topology;

/** Queries the engines for which this node is the reporter, and publishes their reports. */
final class LoadReporter {
  static final long TICK_MILLIS = 50;

  /** Limits the time of one tick where many nodes and engines are known. */
  private static final int RANKS_PER_TICK = 20;

  /** Limits the log lines of a region that loses many nodes at once. */
  private static final int LOG_LINES_PER_SECOND = 20;

  private static final long TICKS_PER_SECOND = 1_000 / TICK_MILLIS;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EngineDirectory engines;
  private final PeerDirectory peers;
  private final RendezvousOrder order;
  private final Topology topology;
  private final LoadReportClient reportClient;
  private final LoadView loadView;
  private final LoadNoticePublisher noticePublisher;
  private final EventLoopLag lag;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final Map<EngineLoadView, LoadQuerySchedule> schedules = new HashMap<>();
  private long ticks;
  private int remainingLogLines = LOG_LINES_PER_SECOND;

  LoadReporter(
      EngineDirectory engines,
      PeerDirectory peers,
      RendezvousOrder order,
      Topology topology,
      LoadReportClient reportClient,
      LoadView loadView,
      LoadNoticePublisher noticePublisher,
      EventLoopLag lag,
      EventLoop eventLoop,
      GatewayLog log) {
    this.engines = engines;
    this.peers = peers;
    this.order = order;
    this.topology = topology;
    this.reportClient = reportClient;
    this.loadView = loadView;
    this.noticePublisher = noticePublisher;
    this.lag = lag;
    this.eventLoop = eventLoop;
    this.log = log;
    loadView.onPrecedingNodeReport(this::onPrecedingNodeReport);
  }

  void tick() {
    long now = eventLoop.nanoTime();
    lag.tick(now);
    if (ticks++ % TICKS_PER_SECOND == 0) {
      remainingLogLines = LOG_LINES_PER_SECOND;
      loadView.forgetRemoved();
      schedules.keySet().removeIf(view -> view.engine().removed());
    }
    // A node that doesn't know its peers yet would consider itself the first node for every engine.
    if (peers.peersIfLoaded().isPresent()) {
      queryDueEngines(now);
    }
    eventLoop.schedule(TICK_MILLIS, this::tick);
  }

  private void queryDueEngines(long now) {
    int nodes = peers.peersInRegion().size();
    int remainingRanks = RANKS_PER_TICK;
    List<LoadQuerySchedule> round = new ArrayList<>();
    boolean anyDue = false;
    for (Engine engine : engines.all()) {
      if (engine.record().draining()) {
        continue;
      }
      LoadQuerySchedule schedule = scheduleOf(engine, now);
      if (!schedule.rankedAmong(nodes) && remainingRanks > 0) {
        remainingRanks--;
        schedule.rank(order.rankOfSelf(engine.record().id()), nodes);
      }
      if (schedule.nearlyDue(now)) {
        anyDue |= schedule.due(now);
        round.add(schedule);
      }
    }
    if (anyDue) {
      queryRound(round, now);
    }
  }

  /**
   * Queries engines together, so that one notice contains all of them. No engine is queried until
   * the budget covers all engines for which this node ranks first; the others are queried as far as
   * the remaining budget allows.
   */
  private void queryRound(List<LoadQuerySchedule> round, long now) {
    Comparator<LoadQuerySchedule> byRank = Comparator.comparingInt(LoadQuerySchedule::rank);
    round.sort(byRank.thenComparingLong(schedule -> -schedule.sinceLastQueryNanos(now)));
    long ownBytes =
        round.stream()
            .filter(schedule -> schedule.rank() == 0)
            .mapToLong(schedule -> noticePublisher.entryBytes(schedule.view().id()))
            .sum();
    if (!noticePublisher.hasBudget(noticePublisher.roundBytes() + ownBytes)) {
      return;
    }
    long roundBytes = noticePublisher.roundBytes();
    for (LoadQuerySchedule schedule : round) {
      long bytes = roundBytes + noticePublisher.entryBytes(schedule.view().id());
      if (!noticePublisher.hasBudget(bytes)) {
        return;
      }
      roundBytes = 0;
      query(schedule, bytes, now);
    }
  }

  private LoadQuerySchedule scheduleOf(Engine engine, long now) {
    return schedules.computeIfAbsent(
        loadView.viewOf(engine),
        view ->
            new LoadQuerySchedule(
                view, topology.localityOf(engine.record().zone()).inRegion(), now));
  }

  private void query(LoadQuerySchedule schedule, long reserved, long now) {
    noticePublisher.reserve(reserved);
    schedule.queryStarted(now);
    reportClient.query(schedule.view().engine(), result -> onResult(schedule, reserved, result));
  }

  private void onResult(LoadQuerySchedule schedule, long reserved, LoadQueryResult result) {
    long now = eventLoop.nanoTime();
    if (result instanceof LoadQueryResult.Reported reported) {
      if (schedule.reportReceived()) {
        logChange(schedule, true);
      }
      adopt(schedule.view().id(), reported, reserved, now);
      return;
    }
    noticePublisher.release(reserved);
    if (result instanceof LoadQueryResult.Unavailable unavailable) {
      schedule.unavailable(now);
      logUnavailable(schedule, unavailable.reason());
    } else {
      schedule.noResponse(now);
    }
  }

  /**
   * Adopts and publishes a report unless an earlier incarnation of the engine returned it. The
   * engine may have restarted since the query was sent, and this report may be the first message
   * with its new start time.
   */
  private void adopt(EngineId id, LoadQueryResult.Reported reported, long reserved, long now) {
    LoadReport report = reported.report();
    if (!loadView.isCurrentIncarnation(id, report.startMillis())) {
      noticePublisher.release(reserved);
      return;
    }
    loadView.viewOf(engines.find(id)).adopt(report, reported.asOfNanos(), now);
    noticePublisher.publish(id, report, reported.asOfNanos(), reserved);
  }

  private void onPrecedingNodeReport(EngineLoadView view) {
    LoadQuerySchedule schedule = schedules.get(view);
    if (schedule != null && schedule.precedingNodeReported()) {
      logChange(schedule, false);
    }
  }

  private void logChange(LoadQuerySchedule schedule, boolean started) {
    if (remainingLogLines-- > 0) {
      log.write(
          GatewayEvent.LOAD_REPORTER_CHANGED,
          "engine",
          schedule.view().id().value(),
          "place",
          schedule.rank(),
          "reports",
          started,
          "silent_ms",
          schedule.view().silenceNanos(eventLoop.nanoTime()) / NANOS_PER_MILLI);
    }
  }

  private void logUnavailable(LoadQuerySchedule schedule, String reason) {
    if (remainingLogLines-- > 0) {
      log.write(
          GatewayEvent.LOAD_REPORT_UNAVAILABLE,
          "engine",
          schedule.view().id().value(),
          "reason",
          reason,
          "next_ms",
          LoadQuerySchedule.UNAVAILABLE_RETRY_NANOS / NANOS_PER_MILLI);
    }
  }

  /** Returns the number of engines that this node currently reports. */
  long enginesReported() {
    long now = eventLoop.nanoTime();
    return schedules.values().stream().filter(schedule -> schedule.isReporting(now)).count();
  }
}
