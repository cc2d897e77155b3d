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
 * The load view: adopts the reports that other nodes publish. The newest report wins, whichever
 * node published it. The age of a report is the one given in the notice plus the longest time that
 * the datagram may have been on the network or unread.
 */
final class LoadView implements PeerMessageListener {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EngineDirectory engines;
  private final RendezvousOrder order;
  private final PeerLatency latency;
  private final EventLoop eventLoop;
  private final EventLoopLag lag;
  private final Map<String, EngineLoadView> viewById = new HashMap<>();
  private Consumer<EngineLoadView> onPrecedingNodeReport = view -> {};
  private long noticesReceived;

  /**
   * Creates an empty load view.
   *
   * @param order gives the nodes that rank before this one for an engine
   * @param latency the round trip to a node limits the time that its datagrams were on the network
   */
  LoadView(
      EngineDirectory engines,
      RendezvousOrder order,
      PeerLatency latency,
      EventLoop eventLoop,
      EventLoopLag lag) {
    this.engines = engines;
    this.order = order;
    this.latency = latency;
    this.eventLoop = eventLoop;
    this.lag = lag;
  }

  /** Sets the listener for reports published by a node that ranks before this one. */
  void onPrecedingNodeReport(Consumer<EngineLoadView> listener) {
    onPrecedingNodeReport = listener;
  }

  /** Returns the view of an engine's reports. */
  EngineLoadView viewOf(Engine engine) {
    EngineLoadView view = viewById.get(engine.record().id());
    if (view == null || view.engine() != engine) {
      view = new EngineLoadView(engine, eventLoop.nanoTime());
      viewById.put(engine.record().id(), view);
    }
    return view;
  }

  /**
   * Returns whether a report belongs to the present incarnation of a known engine. A report of a
   * later incarnation makes it the present one and drops all observations of the former.
   *
   * @param startMillis when the reporting incarnation started, in Unix milliseconds; 0 if not given
   */
  boolean isCurrentIncarnation(EngineId engine, long startMillis) {
    return engines.adoptStartTime(engine, startMillis, eventLoop.nanoTime());
  }

  /** Returns the views of all engines seen. */
  Collection<EngineLoadView> views() {
    return viewById.values();
  }

  /** Drops the views of removed engines. */
  void forgetRemoved() {
    viewById.values().removeIf(view -> view.engine().removed());
  }

  /** Returns the number of notices received. */
  long notices() {
    return noticesReceived;
  }

  @Override
  public void onMessage(PeerAddress sender, PeerMessage message) {
    if (message instanceof PeerMessage.EngineLoadNotice notice) {
      noticesReceived++;
      notice.engines().forEach(report -> adopt(sender, report));
    }
  }

  private void adopt(PeerAddress sender, PeerMessage.ReportedLoad report) {
    if (!isCurrentIncarnation(report.engineId(), report.startMillis())) {
      return;
    }
    Engine engine = engines.find(report.engineId());
    long now = eventLoop.nanoTime();
    long ageMillis = report.ageMillis() + latency.roundTripMillis(sender);
    long asOf = now - ageMillis * NANOS_PER_MILLI - lag.lagNanos(now);
    EngineLoadView view = viewOf(engine);
    boolean usable = view.adopt(new LoadReport(report.load(), report.startMillis()), asOf, now);
    if (usable && order.outranksSelf(sender, view.id().value())) {
      view.precedingNodeReported(now);
      onPrecedingNodeReport.accept(view);
    }
  }
}
