package org.baykeel.core.scheduling;

import java.util.SplittableRandom;

/** The selectors that settings can name; all but the last are baselines. */
public enum SelectionPolicy {
  ROUND_ROBIN,
  LEAST_LOADED,
  PREFIX_HASH,
  CACHE_AWARE;

  /** A new selector of this policy. */
  public EngineSelector create(CostModel costs, SplittableRandom random) {
    return switch (this) {
      case ROUND_ROBIN -> new RoundRobinSelector();
      case LEAST_LOADED -> new LeastLoadedSelector(random);
      case PREFIX_HASH -> new PrefixHashSelector();
      case CACHE_AWARE -> new CacheAwareSelector(costs, random);
    };
  }
}
