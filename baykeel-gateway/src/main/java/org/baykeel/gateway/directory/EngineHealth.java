package org.baykeel.gateway.directory;

/**
 * How far an engine is trusted with new work, according to the outcomes of the requests that were
 * sent to it.
 */
public enum EngineHealth {
  /** It has no penalty. */
  HEALTHY {
    @Override
    public double penaltyMillis(boolean repeatable, double responseMillis) {
      return 0;
    }
  },

  /**
   * A request failed there within the last 2 s, others did not. A request that may run only once
   * uses another engine unless that costs it much time.
   */
  PROBATION {
    @Override
    public double penaltyMillis(boolean repeatable, double responseMillis) {
      return repeatable ? 0 : responseMillis * PROBATION_PENALTY_RESPONSES;
    }
  },

  /**
   * It is probably down, or alternates between down and up. Requests that may be repeated try it;
   * one that may run only once would be lost there, so it uses another engine as long as one
   * accepts work.
   */
  SUSPECT {
    @Override
    public double penaltyMillis(boolean repeatable, double responseMillis) {
      return repeatable ? 0 : SUSPECT_PENALTY_MILLIS;
    }
  },

  /** It has just failed. It is used only if there is no other engine. */
  AVOIDED {
    @Override
    public double penaltyMillis(boolean repeatable, double responseMillis) {
      return LAST_RESORT_PENALTY_MILLIS;
    }
  };

  /** Penalty for an engine on probation, in units of the usual response time of its service. */
  private static final double PROBATION_PENALTY_RESPONSES = 2;

  /** More than any wait that is worthwhile. */
  private static final double SUSPECT_PENALTY_MILLIS = 20_000;

  private static final double LAST_RESORT_PENALTY_MILLIS = 100_000;

  /**
   * Returns the time that is added to the predicted time of a request, in milliseconds.
   *
   * @param repeatable whether the request may be sent to another engine after an unknown outcome
   * @param responseMillis the usual time of a response of the service, in milliseconds
   */
  public abstract double penaltyMillis(boolean repeatable, double responseMillis);
}
