package org.baykeel.gateway.load;

import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.directory.LoadEstimate;

/**
 * What a node knows about the reports of one engine: the last one, and how recently a node that
 * comes before this one told of it.
 */
final class EngineLoadView {
  /** An engine is loaded from this part of its memory on. */
  private static final double LOADED_MEMORY_SHARE = 0.75;

  /** A longer time between two notices is a silence, and not how often a node tells. */
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
   * @return false if it is too old to be of use
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

  /** A node that comes before this one has told of the engine. */
  void precedingNodeReported(long nowNanos) {
    long interval = nowNanos - precedingNoticeNanos;
    precedingNoticeIntervalNanos = interval > MAX_NOTICE_INTERVAL_NANOS ? 0 : interval;
    precedingNoticeNanos = nowNanos;
  }

  /** For how long no node that comes before this one has told of the engine. */
  long silenceNanos(long nowNanos) {
    return nowNanos - precedingNoticeNanos;
  }

  /** The time between the last two times that such a node told of it; 0 if not known. */
  long precedingNoticeIntervalNanos() {
    return precedingNoticeIntervalNanos;
  }

  /** Whether any node has told of it within a time. */
  boolean reportedWithin(long nanos, long nowNanos) {
    return lastReported != null && nowNanos - reportedNanos < nanos;
  }

  /** Whether the last report says that it is loaded. */
  boolean reportedLoaded() {
    return lastReported != null
        && loaded(
            lastReported.waiting() + lastReported.running(),
            lastReported.waiting(),
            lastReported.memoryShare());
  }

  /** Whether it is loaded as far as this node knows, its own requests among that. */
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
