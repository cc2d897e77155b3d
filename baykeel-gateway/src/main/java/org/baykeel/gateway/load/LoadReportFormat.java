package org.baykeel.gateway.load;

import java.util.Optional;

/** How engines are asked for their load, and what they answer. */
public interface LoadReportFormat {

  /** The path that is asked. */
  String path();

  /** How far a report may lag behind the engine when it answers, in milliseconds. */
  long lagMillis();

  /**
   * Reads a report.
   *
   * @param body bytes that may be anything
   * @return nothing if they are no report that can be used
   */
  Optional<LoadReport> decode(byte[] body);
}
