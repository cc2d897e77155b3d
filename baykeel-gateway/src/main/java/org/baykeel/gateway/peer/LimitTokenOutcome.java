package org.baykeel.gateway.peer;

import java.util.Optional;

/** What a node says to another that asks it for tokens of a tenant's limit. */
public enum LimitTokenOutcome {
  /** Here are some. */
  GIVEN(1),
  /** The tenant is beyond its limit. */
  REFUSED(2),
  /** The node does not hold the tenant's bucket. */
  NOT_HELD(3);

  private final int code;

  LimitTokenOutcome(int code) {
    this.code = code;
  }

  /** The number used between nodes; never reused. */
  int code() {
    return code;
  }

  /** The outcome with a number; nothing if none has it. */
  static Optional<LimitTokenOutcome> ofCode(int code) {
    for (LimitTokenOutcome outcome : values()) {
      if (outcome.code == code) {
        return Optional.of(outcome);
      }
    }
    return Optional.empty();
  }
}
