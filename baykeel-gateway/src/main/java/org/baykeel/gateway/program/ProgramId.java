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

  /** Written out: the methods of a record are linked at run time, which costs each start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof ProgramId id && value.equals(id.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
