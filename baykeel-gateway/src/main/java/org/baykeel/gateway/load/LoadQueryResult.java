package org.baykeel.gateway.load;

/** How a question for an engine's load ended. */
public sealed interface LoadQueryResult {

  /**
   * The engine told its load.
   *
   * @param report what it told
   * @param asOfNanos the earliest moment that the report may describe, by this process's clock
   */
  record Reported(LoadReport report, long asOfNanos) implements LoadQueryResult {}

  /**
   * The engine answered without a report that can be used; asking again soon is of no use.
   *
   * @param reason one phrase
   */
  record Unavailable(String reason) implements LoadQueryResult {}

  /**
   * No answer came.
   *
   * @param reason one phrase
   */
  record NoResponse(String reason) implements LoadQueryResult {}
}
