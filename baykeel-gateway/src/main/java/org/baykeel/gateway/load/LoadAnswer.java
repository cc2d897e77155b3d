package org.baykeel.gateway.load;

/** How a question for an engine's load ended. */
public sealed interface LoadAnswer {

  /**
   * The engine told its load.
   *
   * @param report what it told
   * @param asOfNanos the earliest moment that the report may describe, by this process's clock
   */
  record Reported(LoadReport report, long asOfNanos) implements LoadAnswer {}

  /**
   * The engine answered without a report that can be used; asking again soon is of no use.
   *
   * @param reason one phrase
   */
  record Unavailable(String reason) implements LoadAnswer {}

  /**
   * No answer came.
   *
   * @param reason one phrase
   */
  record Lost(String reason) implements LoadAnswer {}
}
