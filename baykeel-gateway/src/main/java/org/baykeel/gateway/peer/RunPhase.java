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
  CLOSED(4);

  private final int code;

  RunPhase(int code) {
    this.code = code;
  }

  /** Returns the number used between nodes; never reused for another phase. */
  public int code() {
    return code;
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
