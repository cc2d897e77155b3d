package org.baykeel.core.message;

import static java.util.Objects.requireNonNull;

/**
 * The load of one engine as a watcher saw it.
 *
 * @param engine the engine's declared name
 * @param observedAtMillis the watcher's time of the observation
 * @param running requests in the engine's batch
 * @param waiting requests in the engine's queue
 * @param freeCacheTokens tokens that its prefix cache could still take without eviction
 * @param status whether it takes work
 */
public record EngineReport(
    String engine,
    long observedAtMillis,
    int running,
    int waiting,
    long freeCacheTokens,
    Status status) {

  /** Whether an engine takes work. */
  public enum Status {
    SERVING,
    /** Finishes what it has and takes nothing new. */
    LEAVING,
    /** Does not answer its watcher. */
    UNREACHABLE;

    private static final Status[] VALUES = values();

    /** The status with the given ordinal. */
    public static Status of(int ordinal) {
      return VALUES[ordinal];
    }
  }

  public EngineReport {
    requireNonNull(engine, "engine");
    requireNonNull(status, "status");
  }
}
