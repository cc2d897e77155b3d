package org.baykeel.gateway.directory;

import static java.util.Objects.requireNonNull;

/**
 * Names an engine. An engine that starts again may keep its name; {@link EngineRecord#startMillis}
 * tells its lives apart.
 *
 * @param value the identifier as the engine states it
 */
public record EngineId(String value) {
  public EngineId {
    requireNonNull(value, "value");
  }

  /** Written out: the methods of a record are linked at run time, which costs each start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof EngineId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
