package org.baykeel.gateway.program;

import static java.util.Objects.requireNonNull;

/**
 * Names one program.
 *
 * @param value the identifier as its caller states it
 */
public record ProgramId(String value) {
  public ProgramId {
    requireNonNull(value, "value");
  }
}
