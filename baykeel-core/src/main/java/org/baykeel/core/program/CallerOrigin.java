package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import org.baykeel.core.message.MemberId;

/**
 * Where a caller waits.
 *
 * @param edge the node that holds the caller's connection
 * @param requestId the edge's number for the request
 */
public record CallerOrigin(MemberId edge, long requestId) {
  public CallerOrigin {
    requireNonNull(edge, "edge");
  }
}
