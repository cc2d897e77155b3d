package org.baykeel.gateway.program;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a program.
 *
 * @param value the identifier that the caller sent, qualified by the caller's tenant
 */
public record ProgramId(String value) {
  public ProgramId {
    requireNonNull(value, "value");
  }

  /**
   * Implemented by hand because the generated methods of a record are linked at run time, which
   * delays each process start.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof ProgramId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
