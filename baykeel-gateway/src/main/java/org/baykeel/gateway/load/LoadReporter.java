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

/** Asks the engines whose turn it is at this node for their load, and has the answers told. */
final class LoadReporter {
  static final long TICK_MILLIS = 50;

  /** Bounds the time of one tick where many nodes and engines are known. */
  private static final int PLACES_PER_TICK = 20;

  /** A region that loses many nodes at once must not fill the log. */
  private static final int LINES_PER_SECOND = 20;

  private static final long TICKS_PER_SECOND = 1_000 / TICK_MILLIS;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EngineDirectory engines;
  private final PeerDirectory peers;
  private final RendezvousOrder order;
  private final Topology topology;
  private final LoadReportClient reports;
  private final LoadView board;
  private final LoadNoticePublisher notices;
  private final EventLoopLag stall;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final Map<EngineLoadView, LoadQuerySchedule> turns = new HashMap<>();
  private long ticks;
  private int linesLeft = LINES_PER_SECOND;

  LoadReporter(
      EngineDirectory engines,
      PeerDirectory peers,
      RendezvousOrder order,
      Topology topology,
      LoadReportClient reports,
      LoadView board,
      LoadNoticePublisher notices,
      EventLoopLag stall,
      EventLoop eventLoop,
      GatewayLog log) {
    this.engines = engines;
    this.peers = peers;
    this.order = order;
    this.topology = topology;
    this.reports = reports;
    this.board = board;
    this.notices = notices;
    this.stall = stall;
    this.eventLoop = eventLoop;
    this.log = log;
    board.onHeardBefore(this::onHeardBefore);
  }

  void tick() {
    long now = eventLoop.nanoTime();
    stall.ticked(now);
    if (ticks++ % TICKS_PER_SECOND == 0) {
      linesLeft = LINES_PER_SECOND;
      board.forgetRemoved();
      turns.keySet().removeIf(view -> view.engine().removed());
    }
    // A node that doesn't know the others yet would take itself for the first everywhere.
    if (peers.peersIfLoaded().isPresent()) {
      askWhoIsDue(now);
    }
    eventLoop.schedule(TICK_MILLIS, this::tick);
  }

  private void askWhoIsDue(long now) {
    int nodes = peers.peersInRegion().size();
    int placesLeft = PLACES_PER_TICK;
    List<LoadQuerySchedule> round = new ArrayList<>();
    boolean anyDue = false;
    for (Engine engine : engines.all()) {
      if (engine.record().draining()) {
        continue;
      }
      LoadQuerySchedule turn = turnOf(engine, now);
      if (!turn.placedAmong(nodes) && placesLeft > 0) {
        placesLeft--;
        turn.place(order.rankOfSelf(engine.record().id()), nodes);
      }
      if (turn.nearlyDue(now)) {
        anyDue |= turn.due(now);
        round.add(turn);
      }
    }
    if (anyDue) {
      askRound(round, now);
    }
  }

  /**
   * Asks engines together, so that one notice tells of them. Those of which this node is the first
   * wait until there is room for all of them; the others get what is left.
   */
  private void askRound(List<LoadQuerySchedule> round, long now) {
    Comparator<LoadQuerySchedule> byPlace = Comparator.comparingInt(LoadQuerySchedule::place);
    round.sort(byPlace.thenComparingLong(turn -> -turn.waitedNanos(now)));
    long ownBytes =
        round.stream()
            .filter(turn -> turn.place() == 0)
            .mapToLong(turn -> notices.entryBytes(turn.view().id()))
            .sum();
    if (!notices.room(notices.roundBytes() + ownBytes)) {
      return;
    }
    long shared = notices.roundBytes();
    for (LoadQuerySchedule turn : round) {
      long bytes = shared + notices.entryBytes(turn.view().id());
      if (!notices.room(bytes)) {
        return;
      }
      shared = 0;
      ask(turn, bytes, now);
    }
  }

  private LoadQuerySchedule turnOf(Engine engine, long now) {
    return turns.computeIfAbsent(
        board.viewOf(engine),
        view ->
            new LoadQuerySchedule(
                view, topology.localityOf(engine.record().zone()).inRegion(), now));
  }

  private void ask(LoadQuerySchedule turn, long reserved, long now) {
    notices.reserve(reserved);
    turn.asked(now);
    reports.query(turn.view().engine(), answer -> onAnswer(turn, reserved, answer));
  }

  private void onAnswer(LoadQuerySchedule turn, long reserved, LoadQueryResult answer) {
    long now = eventLoop.nanoTime();
    if (answer instanceof LoadQueryResult.Reported reported) {
      if (turn.answered()) {
        logChange(turn, true);
      }
      adopt(turn.view().id(), reported, reserved, now);
      return;
    }
    notices.release(reserved);
    if (answer instanceof LoadQueryResult.Unavailable unavailable) {
      turn.unavailable(now);
      logUnavailable(turn, unavailable.reason());
    } else {
      turn.lost(now);
    }
  }

  /** The engine may have begun another life since it was asked, which this report tells first. */
  private void adopt(EngineId id, LoadQueryResult.Reported reported, long reserved, long now) {
    LoadReport report = reported.report();
    if (!board.ofPresentLife(id, report.startMillis())) {
      notices.release(reserved);
      return;
    }
    board.viewOf(engines.find(id)).adopt(report, reported.asOfNanos(), now);
    notices.tell(id, report, reported.asOfNanos(), reserved);
  }

  private void onHeardBefore(EngineLoadView view) {
    LoadQuerySchedule turn = turns.get(view);
    if (turn != null && turn.heardBefore()) {
      logChange(turn, false);
    }
  }

  private void logChange(LoadQuerySchedule turn, boolean begins) {
    if (linesLeft-- > 0) {
      log.write(
          GatewayEvent.LOAD_REPORTER_CHANGED,
          "engine",
          turn.view().id().value(),
          "place",
          turn.place(),
          "reports",
          begins,
          "silent_ms",
          turn.view().silenceNanos(eventLoop.nanoTime()) / NANOS_PER_MILLI);
    }
  }

  private void logUnavailable(LoadQuerySchedule turn, String reason) {
    if (linesLeft-- > 0) {
      log.write(
          GatewayEvent.LOAD_REPORT_UNAVAILABLE,
          "engine",
          turn.view().id().value(),
          "reason",
          reason,
          "next_ms",
          LoadQuerySchedule.UNAVAILABLE_NANOS / NANOS_PER_MILLI);
    }
  }

  /** Engines of which this node has told lately. */
  long enginesReported() {
    long now = eventLoop.nanoTime();
    return turns.values().stream().filter(turn -> turn.reports(now)).count();
  }
}
