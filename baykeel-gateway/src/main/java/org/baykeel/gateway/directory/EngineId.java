package org.baykeel.gateway.directory;

import static java.util.Objects.requireNonNull;

/**
 * Names one life of one engine.
 *
 * @param value the identifier as the engine states it
 */
public record EngineId(String value) {
  public EngineId {
    requireNonNull(value, "value");
  }
}
