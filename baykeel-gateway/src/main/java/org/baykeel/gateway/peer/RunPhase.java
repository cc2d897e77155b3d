package org.baykeel.gateway.peer;

import java.util.Optional;

/** What is known of a run of a request at an engine. */
public enum RunPhase {
  /** The request is about to be sent; its engine is not selected yet. */
  CLAIMED(1),
  /** The request was sent, and its response is awaited. */
  OPEN(2),
  /** No response is awaited any more, but the engine may go on running the request. */
  UNRESOLVED(3),
  /** The engine does not run the request. */
  CLOSED(4),
  /** As {@link #UNRESOLVED}, since the node that sent the request does not respond any more. */
  ORPHANED(5),
  /** The engine has run the request to its end; said to the registrars of the run only. */
  COMPLETED(6);

  private final int code;

  RunPhase(int code) {
    this.code = code;
  }

  /** Returns the number used between nodes; never reused for another phase. */
  public int code() {
    return code;
  }

  /** Returns whether the engine may run the request although no response is awaited. */
  public boolean unresolved() {
    return this == UNRESOLVED || this == ORPHANED;
  }

  /** Returns whether the engine does not run the request any more. */
  public boolean closed() {
    return this == CLOSED || this == COMPLETED;
  }

  /** Returns the phase with a code, or empty if a later version sent it. */
  public static Optional<RunPhase> ofCode(int code) {
    for (RunPhase phase : values()) {
      if (phase.code == code) {
        return Optional.of(phase);
      }
    }
    return Optional.empty();
  }
}
