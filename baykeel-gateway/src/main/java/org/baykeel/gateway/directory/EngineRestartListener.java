package org.baykeel.gateway.directory;

/** Is notified when an engine is found to have restarted under its identifier. */
@FunctionalInterface
public interface EngineRestartListener {
  /** The kind of message that was the first to give the later start time. */
  enum Source {
    /** The engine's entry in the store. */
    ENTRY,
    /** A report of the engine's load. */
    REPORT
  }

  /**
   * Called after all observations of the former incarnation of an engine have been dropped.
   *
   * @param id the engine
   * @param previousStartMillis start of the former incarnation, in Unix milliseconds
   * @param newStartMillis start of the present incarnation, in Unix milliseconds
   * @param source the message that gave the later start time
   */
  void engineRestarted(EngineId id, long previousStartMillis, long newStartMillis, Source source);
}
