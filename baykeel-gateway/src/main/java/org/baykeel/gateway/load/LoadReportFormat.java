package org.baykeel.gateway.load;

import java.util.Optional;

/** The request that queries an engine for its load, and the format of its response. */
public interface LoadReportFormat {

  /** Returns the path of the request. */
  String path();

  /**
   * Returns by how much a report may lag behind the engine when the engine responds, in
   * milliseconds.
   */
  long lagMillis();

  /**
   * Decodes a report.
   *
   * @param body the body of the response, which may be arbitrary bytes
   * @return empty if the body is not a usable report
   */
  Optional<LoadReport> decode(byte[] body);
}
