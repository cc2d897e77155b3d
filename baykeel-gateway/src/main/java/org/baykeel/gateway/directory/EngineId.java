package org.baykeel.gateway.directory;

import static java.util.Objects.requireNonNull;

/**
 * The identifier of an engine. An engine that restarts may keep it; {@link
 * EngineRecord#startMillis} distinguishes its incarnations.
 *
 * @param value the identifier as given by the engine
 */
public record EngineId(String value) {
  public EngineId {
    requireNonNull(value, "value");
  }

  /**
   * Written out, since the generated methods of a record are linked at run time, which slows down
   * each start of the process.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof EngineId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
