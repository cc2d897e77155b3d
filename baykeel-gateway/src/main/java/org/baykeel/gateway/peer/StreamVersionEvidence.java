package org.baykeel.gateway.peer;

import java.util.Arrays;
import java.util.Optional;

/** How a node knows the software version at which a stream began. */
public enum StreamVersionEvidence {
  /** The node does not know it. */
  NONE(0),
  /** The node has a record of the stream. */
  RECORD(1),
  /**
   * The node has seen no other version of the service since before the stream can have begun, but
   * it may have missed the latest changes.
   */
  ONLY_VERSION(2),
  /** The node has seen engines of several versions of the service. */
  SEVERAL_VERSIONS(3),
  /**
   * The service had no other version since before the stream can have begun: the store has
   * confirmed what the node has seen after the query arrived.
   */
  PROVEN_ONLY_VERSION(4);

  private final int code;

  StreamVersionEvidence(int code) {
    this.code = code;
  }

  /** Returns the code used in messages. */
  int code() {
    return code;
  }

  /** Returns the constant with a code, or empty if there is none. */
  static Optional<StreamVersionEvidence> ofCode(int code) {
    return Arrays.stream(values()).filter(evidence -> evidence.code == code).findFirst();
  }
}
