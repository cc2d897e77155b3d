package org.baykeel.gateway.directory;

/** How far an engine is trusted with new work, from what its latest requests came to. */
public enum EngineHealth {
  /** Nothing speaks against it. */
  HEALTHY {
    @Override
    public double penaltyMillis(boolean repeatable, double responseMillis) {
      return 0;
    }
  },

  /**
   * A request failed there lately, others did not. One that may run only once prefers another
   * engine unless that costs it much time.
   */
  PROBATION {
    @Override
    public double penaltyMillis(boolean repeatable, double responseMillis) {
      return repeatable ? 0 : responseMillis * PROBATION_PENALTY_RESPONSES;
    }
  },

  /**
   * It is probably down, or goes down and up by turns. Requests that may be repeated try it; one
   * that may run only once would be lost there, so it goes elsewhere while another engine takes
   * work.
   */
  SUSPECT {
    @Override
    public double penaltyMillis(boolean repeatable, double responseMillis) {
      return repeatable ? 0 : SUSPECT_PENALTY_MILLIS;
    }
  },

  /** It has just failed: used only if no other engine is left. */
  AVOIDED {
    @Override
    public double penaltyMillis(boolean repeatable, double responseMillis) {
      return LAST_RESORT_PENALTY_MILLIS;
    }
  };

  /** What the doubt about an engine on probation is worth, in usual answers of its service. */
  private static final double PROBATION_PENALTY_RESPONSES = 2;

  /** More than any wait that is worth its while. */
  private static final double SUSPECT_PENALTY_MILLIS = 20_000;

  private static final double LAST_RESORT_PENALTY_MILLIS = 100_000;

  /**
   * What is added to the predicted time of a request, in milliseconds.
   *
   * @param repeatable whether the request may be sent to another engine after an unknown outcome
   * @param responseMillis the usual time of an answer of the service
   */
  public abstract double penaltyMillis(boolean repeatable, double responseMillis);
}
