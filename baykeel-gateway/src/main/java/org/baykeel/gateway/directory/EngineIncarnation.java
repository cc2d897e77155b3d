package org.baykeel.gateway.directory;

/**
 * One run of an engine, from its start to its end.
 *
 * @param id the identifier of the engine
 * @param startMillis when it started, in Unix milliseconds; 0 if not given
 */
public record EngineIncarnation(EngineId id, long startMillis) {
  /** Stands for an engine that is not selected yet. */
  public static final EngineIncarnation NONE = new EngineIncarnation(new EngineId(""), 0);

  /** Returns the incarnation that a record describes. */
  public static EngineIncarnation of(EngineRecord record) {
    return new EngineIncarnation(new EngineId(record.id()), record.startMillis());
  }

  /**
   * Implemented by hand because the generated methods of a record are linked at run time, which
   * delays each process start.
   */
  @Override
  public boolean equals(Object other) {
    return this == other
        || other instanceof EngineIncarnation incarnation
            && startMillis == incarnation.startMillis
            && id.equals(incarnation.id);
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(startMillis);
  }
}
