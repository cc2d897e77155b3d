package org.baykeel.core.error;

import static java.util.Objects.requireNonNull;

/** The unchecked exception of every failure that a caller or operator is told about. */
public final class BaykeelException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;

  public BaykeelException(ErrorKind kind, String detail) {
    super(detail);
    this.kind = requireNonNull(kind, "kind");
  }

  /** The kind that decides the answer. */
  public ErrorKind kind() {
    return kind;
  }
}
