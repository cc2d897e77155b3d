package org.baykeel.gateway.directory;

/** How far an engine is trusted with new work, from what its latest requests came to. */
public enum EngineStanding {
  /** Nothing speaks against it. */
  TRUSTED {
    @Override
    public double penaltyMillis(boolean repeatable) {
      return 0;
    }
  },

  /**
   * A request failed there lately, others did not. One that may run only once prefers another
   * engine unless that costs it much time.
   */
  PROBATION {
    @Override
    public double penaltyMillis(boolean repeatable) {
      return repeatable ? 0 : PROBATION_PENALTY_MILLIS;
    }
  },

  /**
   * It is probably down, or goes down and up by turns. Requests that may be repeated try it; one
   * that may run only once would be lost there, so it goes elsewhere while another engine takes
   * work.
   */
  SUSPECT {
    @Override
    public double penaltyMillis(boolean repeatable) {
      return repeatable ? 0 : SUSPECT_PENALTY_MILLIS;
    }
  },

  /** It has just failed: used only if no other engine is left. */
  AVOIDED {
    @Override
    public double penaltyMillis(boolean repeatable) {
      return LAST_RESORT_PENALTY_MILLIS;
    }
  };

  private static final double PROBATION_PENALTY_MILLIS = 100;

  /** More than any wait that is worth its while. */
  private static final double SUSPECT_PENALTY_MILLIS = 20_000;

  private static final double LAST_RESORT_PENALTY_MILLIS = 100_000;

  /**
   * What is added to the predicted time of a request, in milliseconds.
   *
   * @param repeatable whether the request may be sent to another engine after an unknown outcome
   */
  public abstract double penaltyMillis(boolean repeatable);
}
