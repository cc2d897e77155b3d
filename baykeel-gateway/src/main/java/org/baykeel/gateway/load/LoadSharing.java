package org.baykeel.gateway.load;

import java.util.function.LongSupplier;
import java.util.stream.LongStream;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.LoadEstimate;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerMessageListener;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.peer.RendezvousOrder;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.topology.Topology;

/** This node's part in the exchange of load reports among nodes. Used only from the event loop. */
public final class LoadSharing implements PeerMessageListener {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EngineDirectory engines;
  private final EventLoop eventLoop;
  private final LoadView loadView;
  private final LoadNoticePublisher noticePublisher;
  private final LoadReporter reporter;
  private boolean started;

  /**
   * Creates an instance that sends no queries until it is started.
   *
   * @param self this node
   * @param reportClient queries engines for their load
   * @param latency gives the round trips to other nodes
   */
  public LoadSharing(
      PeerAddress self,
      EngineDirectory engines,
      PeerDirectory peers,
      PeerTransport transport,
      PeerMessageCodec codec,
      Topology topology,
      LoadReportClient reportClient,
      PeerLatency latency,
      EventLoop eventLoop,
      GatewayLog log) {
    this.engines = engines;
    this.eventLoop = eventLoop;
    RendezvousOrder order = new RendezvousOrder(self, peers::peersInRegion);
    EventLoopLag lag =
        new EventLoopLag(LoadReporter.TICK_MILLIS * NANOS_PER_MILLI, eventLoop.nanoTime());
    this.loadView = new LoadView(engines, order, latency, eventLoop, lag);
    this.noticePublisher = new LoadNoticePublisher(peers, transport, codec, eventLoop);
    this.reporter =
        new LoadReporter(
            engines,
            peers,
            order,
            topology,
            reportClient,
            loadView,
            noticePublisher,
            lag,
            eventLoop,
            log);
  }

  /** Starts to query the engines for which this node is the reporter; later calls do nothing. */
  public void start() {
    if (!started) {
      started = true;
      reporter.tick();
    }
  }

  @Override
  public void onMessage(PeerAddress sender, PeerMessage message) {
    loadView.onMessage(sender, message);
  }

  /** Registers metrics on the number of known reports, their age and the exchange of notices. */
  public void register(GatewayMetrics metrics) {
    gauge(metrics, "median_age_milliseconds", () -> ageMillis(0.5));
    gauge(metrics, "oldest_age_milliseconds", () -> ageMillis(1));
    gauge(metrics, "engines_known", () -> knownAges().count());
    gauge(metrics, "engines_reported_here", reporter::enginesReported);
    gauge(metrics, "notices_received", loadView::notices);
    gauge(metrics, "datagrams_sent", noticePublisher::datagrams);
    gauge(metrics, "sent_bytes", noticePublisher::bytes);
  }

  private static void gauge(GatewayMetrics metrics, String name, LongSupplier reading) {
    metrics.gauge("baykeel_gateway_load_" + name, reading);
  }

  /** Returns the ages, in nanoseconds, of the reports that are not too old. */
  private LongStream knownAges() {
    long now = eventLoop.nanoTime();
    return engines.all().stream()
        .mapToLong(engine -> engine.load().ageNanos(now))
        .filter(age -> age < LoadEstimate.STALE_NANOS);
  }

  /**
   * Returns the age that the given part of the known reports does not exceed.
   *
   * @return milliseconds; -1 if no report is known
   */
  private long ageMillis(double part) {
    long[] ages = knownAges().sorted().toArray();
    if (ages.length == 0) {
      return -1;
    }
    return ages[(int) Math.round(part * (ages.length - 1))] / NANOS_PER_MILLI;
  }
}
