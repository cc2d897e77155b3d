package org.baykeel.core.platform;

import java.util.function.Consumer;
import org.baykeel.core.message.Payload;

/**
 * The platform's table service. Every operation answers exactly once through its callback, on the
 * node's own thread; an answer that does not come within the time limit is reported as unavailable.
 */
public interface Platform {
  /** Reads a row of the table service. */
  void readRow(String key, Consumer<TableResult> callback);

  /**
   * Writes a row if it still has the expected version.
   *
   * @param expectedVersion zero if the row must not exist
   */
  void writeRow(String key, long expectedVersion, Payload value, Consumer<TableResult> callback);
}
