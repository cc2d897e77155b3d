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
  private static final double LOADED_MEMORY = 0.75;

  /** A longer time between two notices is a silence, and not how often a node tells. */
  private static final long LONGEST_GAP_NANOS = 4_000_000_000L;

  private final Engine engine;
  private final EngineId id;
  private EngineLoad told;
  private long toldNanos;
  private long heardNanos;
  private long heardGapNanos;

  EngineLoadView(Engine engine, long nowNanos) {
    this.engine = engine;
    this.id = new EngineId(engine.record().id());
    this.toldNanos = nowNanos;
    this.heardNanos = nowNanos;
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
      told = report.load();
    }
    toldNanos = nowNanos;
    return true;
  }

  /** A node that comes before this one has told of the engine. */
  void heardBefore(long nowNanos) {
    long gap = nowNanos - heardNanos;
    heardGapNanos = gap > LONGEST_GAP_NANOS ? 0 : gap;
    heardNanos = nowNanos;
  }

  /** For how long no node that comes before this one has told of the engine. */
  long silenceNanos(long nowNanos) {
    return nowNanos - heardNanos;
  }

  /** The time between the last two times that such a node told of it; 0 if not known. */
  long heardGapNanos() {
    return heardGapNanos;
  }

  /** Whether any node has told of it within a time. */
  boolean toldWithin(long nanos, long nowNanos) {
    return told != null && nowNanos - toldNanos < nanos;
  }

  /** Whether the last report says that it is loaded. */
  boolean toldLoaded() {
    return told != null
        && loaded(told.waiting() + told.running(), told.waiting(), told.memoryShare());
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
    return 2 * requests > engine.record().slots() || waiting > 0 || memoryShare > LOADED_MEMORY;
  }
}
