package org.baykeel.gateway.ratelimit;

import java.util.Optional;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.scheduling.StableHash;
import org.baykeel.gateway.tenancy.Tenant;

/**
 * A request that counts against a tenant's limit.
 *
 * @param tenant the tenant of the request
 * @param kind whether the request starts its program or continues it, according to this node
 * @param program the program of the request; empty if it belongs to none
 */
public record LimitedRequest(Tenant tenant, RequestKind kind, Optional<ProgramId> program) {
  /** The hash of a request without a program. */
  static final int NO_PROGRAM = 0;

  /**
   * Returns a hash of the program, which rarely collides with that of another program, or {@link
   * #NO_PROGRAM}.
   */
  int programHash() {
    return program.map(id -> StableHash.of(id.value())).orElse(NO_PROGRAM);
  }
}
