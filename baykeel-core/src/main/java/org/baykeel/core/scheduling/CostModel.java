package org.baykeel.core.scheduling;

/**
 * What the scheduler assumes about engines, to weigh cache against queue in seconds.
 *
 * @param prefillTokensPerSecond speed at which an engine reads a prompt
 * @param expectedServiceSeconds usual time of one call in the batch
 * @param admissionFactor an engine takes calls until its load is this multiple of its concurrency
 */
public record CostModel(
    double prefillTokensPerSecond, double expectedServiceSeconds, double admissionFactor) {
  /** Assumed values; docs/SCHEDULING.md names their source. */
  public static final CostModel DEFAULT = new CostModel(8_000, 3.0, 1.25);

  public CostModel {
    if (prefillTokensPerSecond <= 0 || expectedServiceSeconds <= 0 || admissionFactor <= 0) {
      throw new IllegalArgumentException("costs must be positive");
    }
  }

  /** Seconds to read tokens that no cache holds. */
  public double prefillSeconds(int tokens) {
    return Math.max(0, tokens) / prefillTokensPerSecond;
  }

  /** Seconds until an engine with this load has room for one more. */
  public double queueSeconds(EngineView view) {
    double excess = view.load() + 1.0 - view.engine().concurrency();
    double waiting = Math.max(0, excess) / view.engine().concurrency();
    return waiting * expectedServiceSeconds;
  }

  /** Seconds that a call loses by sharing the batch: a fuller batch decodes each call slower. */
  public double sharingSeconds(EngineView view) {
    return view.relativeLoad() * expectedServiceSeconds * SHARING_SLOWDOWN;
  }

  /** True if the engine should take one more call. */
  public boolean hasRoom(EngineView view) {
    return view.load() < view.engine().concurrency() * admissionFactor;
  }

  private static final double SHARING_SLOWDOWN = 0.3;
}
