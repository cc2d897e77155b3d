package org.baykeel.gateway.load;

import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.directory.LoadEstimate;

/**
 * The reports of one engine as seen by this node: the last report, and how recently a node that
 * ranks before this one in the engine's rendezvous order published a report.
 */
final class EngineLoadView {
  /** The memory share above which an engine counts as loaded. */
  private static final double LOADED_MEMORY_SHARE = 0.75;

  /**
   * A longer time between two notices means that a node stopped publishing, so that time is not
   * taken for the interval at which the node publishes.
   */
  private static final long MAX_NOTICE_INTERVAL_NANOS = 4_000_000_000L;

  private final Engine engine;
  private final EngineId id;
  private EngineLoad lastReported;
  private long reportedNanos;
  private long precedingNoticeNanos;
  private long precedingNoticeIntervalNanos;

  EngineLoadView(Engine engine, long nowNanos) {
    this.engine = engine;
    this.id = new EngineId(engine.record().id());
    this.reportedNanos = nowNanos;
    this.precedingNoticeNanos = nowNanos;
  }

  Engine engine() {
    return engine;
  }

  EngineId id() {
    return id;
  }

  /**
   * Adopts a report unless a later one is known.
   *
   * @return false if the report is too old to be used; true also if a later one is known
   */
  boolean adopt(LoadReport report, long asOfNanos, long nowNanos) {
    if (nowNanos - asOfNanos >= LoadEstimate.STALE_NANOS) {
      return false;
    }
    if (engine.load().reported(report.load(), asOfNanos)) {
      lastReported = report.load();
    }
    reportedNanos = nowNanos;
    return true;
  }

  /** Records that a node that ranks before this one published a report of the engine. */
  void precedingNodeReported(long nowNanos) {
    long interval = nowNanos - precedingNoticeNanos;
    precedingNoticeIntervalNanos = interval > MAX_NOTICE_INTERVAL_NANOS ? 0 : interval;
    precedingNoticeNanos = nowNanos;
  }

  /**
   * Returns for how long no node that ranks before this one has published a report of the engine.
   */
  long silenceNanos(long nowNanos) {
    return nowNanos - precedingNoticeNanos;
  }

  /** Returns the time between the last two such reports in nanoseconds; 0 if it is not known. */
  long precedingNoticeIntervalNanos() {
    return precedingNoticeIntervalNanos;
  }

  /** Returns whether this node received a report of the engine from any node within a time. */
  boolean reportedWithin(long nanos, long nowNanos) {
    return lastReported != null && nowNanos - reportedNanos < nanos;
  }

  /** Returns whether the engine is loaded according to its last report. */
  boolean reportedLoaded() {
    return lastReported != null
        && loaded(
            lastReported.waiting() + lastReported.running(),
            lastReported.waiting(),
            lastReported.memoryShare());
  }

  /**
   * Returns whether the engine is loaded according to the load estimate, which includes this node's
   * own requests.
   */
  boolean estimatedLoaded(long nowNanos) {
    LoadEstimate load = engine.load();
    return loaded(
        load.requests(nowNanos),
        load.waiting(engine.record().slots(), nowNanos),
        load.memoryShare(nowNanos));
  }

  private boolean loaded(int requests, int waiting, double memoryShare) {
    return 2 * requests > engine.record().slots()
        || waiting > 0
        || memoryShare > LOADED_MEMORY_SHARE;
  }
}
