package org.baykeel.gateway.load;

/** The result of a query for an engine's load. */
public sealed interface LoadQueryResult {

  /**
   * The engine returned its load.
   *
   * @param report the report
   * @param asOfNanos the earliest moment that the report may describe, by this process's clock
   */
  record Reported(LoadReport report, long asOfNanos) implements LoadQueryResult {}

  /**
   * The engine responded without a usable report, so that another query within seconds would not
   * help.
   *
   * @param reason one phrase
   */
  record Unavailable(String reason) implements LoadQueryResult {}

  /**
   * No response arrived.
   *
   * @param reason one phrase
   */
  record NoResponse(String reason) implements LoadQueryResult {}
}
