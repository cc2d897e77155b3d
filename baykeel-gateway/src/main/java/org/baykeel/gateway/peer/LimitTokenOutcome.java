package org.baykeel.gateway.peer;

import java.util.Optional;

/** The outcome of a node's request to a peer for tokens of a tenant's rate limit. */
public enum LimitTokenOutcome {
  /** The reply grants tokens. */
  GIVEN(1),
  /** The tenant has exceeded its limit. */
  REFUSED(2),
  /** The peer does not hold the tenant's token bucket. */
  NOT_HELD(3);

  private final int code;

  LimitTokenOutcome(int code) {
    this.code = code;
  }

  /** Returns the code in messages between nodes; codes are never reused. */
  int code() {
    return code;
  }

  /** Returns the outcome with the code, or empty if the code is unknown. */
  static Optional<LimitTokenOutcome> ofCode(int code) {
    for (LimitTokenOutcome outcome : values()) {
      if (outcome.code == code) {
        return Optional.of(outcome);
      }
    }
    return Optional.empty();
  }
}
