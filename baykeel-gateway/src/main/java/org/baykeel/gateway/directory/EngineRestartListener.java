package org.baykeel.gateway.directory;

/** Hears when an engine is found to have started again under its identifier. */
@FunctionalInterface
public interface EngineRestartListener {
  /** A listener that does nothing. */
  EngineRestartListener NONE = (id, previousStartMillis, newStartMillis, source) -> {};

  /** What told of the later start first. */
  enum Source {
    /** The engine's entry in the store. */
    ENTRY,
    /** A report that the engine gave of its load. */
    REPORT
  }

  /**
   * Everything that was believed of the engine's former life is dropped.
   *
   * @param id the engine
   * @param previousStartMillis start of the former life, in Unix milliseconds
   * @param newStartMillis start of the present one, in Unix milliseconds
   * @param source what told of it
   */
  void engineRestarted(EngineId id, long previousStartMillis, long newStartMillis, Source source);
}
