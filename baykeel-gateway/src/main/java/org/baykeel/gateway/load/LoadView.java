package org.baykeel.gateway.load;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageListener;
import org.baykeel.gateway.peer.RendezvousOrder;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Adopts what other nodes tell of engines' load. The newest report wins, whoever told it; the age
 * that counts is the one that was told, and on top the longest that the datagram may have been on
 * its way or unread.
 */
final class LoadView implements PeerMessageListener {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EngineDirectory engines;
  private final RendezvousOrder order;
  private final PeerLatency distance;
  private final EventLoop eventLoop;
  private final EventLoopLag stall;
  private final Map<String, EngineLoadView> viewById = new HashMap<>();
  private Consumer<EngineLoadView> onPrecedingNodeReport = view -> {};
  private long notices;

  /**
   * Creates a board that knows nothing.
   *
   * @param order tells which nodes come before this one
   * @param latency the time to a node and back bounds the way of its datagrams
   */
  LoadView(
      EngineDirectory engines,
      RendezvousOrder order,
      PeerLatency latency,
      EventLoop eventLoop,
      EventLoopLag stall) {
    this.engines = engines;
    this.order = order;
    this.distance = latency;
    this.eventLoop = eventLoop;
    this.stall = stall;
  }

  /** Sets who hears that a node that comes before this one told of an engine. */
  void onPrecedingNodeReport(Consumer<EngineLoadView> listener) {
    onPrecedingNodeReport = listener;
  }

  /** What is known about an engine's reports. */
  EngineLoadView viewOf(Engine engine) {
    EngineLoadView view = viewById.get(engine.record().id());
    if (view == null || view.engine() != engine) {
      view = new EngineLoadView(engine, eventLoop.nanoTime());
      viewById.put(engine.record().id(), view);
    }
    return view;
  }

  /**
   * Whether a report is of the present life of a known engine. One of a later life makes all that
   * is believed of the engine void.
   *
   * @param startMillis when the life that reports began, in Unix milliseconds; 0 if it did not say
   */
  boolean isCurrentIncarnation(EngineId engine, long startMillis) {
    return engines.adoptStartTime(engine, startMillis, eventLoop.nanoTime());
  }

  /** What is known about the reports of all engines that were seen. */
  Collection<EngineLoadView> views() {
    return viewById.values();
  }

  /** Drops what is known about engines that are gone. */
  void forgetRemoved() {
    viewById.values().removeIf(view -> view.engine().removed());
  }

  /** Notices received so far. */
  long notices() {
    return notices;
  }

  @Override
  public void onMessage(PeerAddress sender, PeerMessage message) {
    if (message instanceof PeerMessage.EngineLoadNotice notice) {
      notices++;
      notice.engines().forEach(report -> adopt(sender, report));
    }
  }

  private void adopt(PeerAddress sender, PeerMessage.ReportedLoad report) {
    if (!isCurrentIncarnation(report.engineId(), report.startMillis())) {
      return;
    }
    Engine engine = engines.find(report.engineId());
    long now = eventLoop.nanoTime();
    long ageMillis = report.ageMillis() + distance.roundTripMillis(sender);
    long asOf = now - ageMillis * NANOS_PER_MILLI - stall.lagNanos(now);
    EngineLoadView view = viewOf(engine);
    boolean adopted = view.adopt(new LoadReport(report.load(), report.startMillis()), asOf, now);
    if (adopted && order.outranksSelf(sender, view.id().value())) {
      view.precedingNodeReported(now);
      onPrecedingNodeReport.accept(view);
    }
  }
}
