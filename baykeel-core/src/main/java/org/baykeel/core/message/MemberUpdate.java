package org.baykeel.core.message;

import static java.util.Objects.requireNonNull;

/**
 * A statement about one member that spreads by gossip.
 *
 * @param id whom it is about
 * @param refutation counter that only the member itself raises, to refute a suspicion
 * @param status what is stated
 * @param address where the member is
 */
public record MemberUpdate(MemberId id, int refutation, MemberStatus status, NodeAddress address) {
  public MemberUpdate {
    requireNonNull(id, "id");
    requireNonNull(status, "status");
    requireNonNull(address, "address");
  }

  /** The same statement with another status. */
  public MemberUpdate withStatus(MemberStatus newStatus) {
    return new MemberUpdate(id, refutation, newStatus, address);
  }
}
