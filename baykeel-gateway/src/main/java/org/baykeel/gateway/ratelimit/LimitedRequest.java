package org.baykeel.gateway.ratelimit;

import java.util.Optional;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.scheduling.StableHash;
import org.baykeel.gateway.tenancy.Tenant;

/**
 * A request that counts against a tenant's limit.
 *
 * @param tenant its tenant
 * @param kind its place in its program, as far as this node knows
 * @param program its program; nothing if it belongs to none
 */
public record LimitedRequest(Tenant tenant, RequestKind kind, Optional<ProgramId> program) {
  /** Stands for a request without a program. */
  static final int NO_PROGRAM = 0;

  /** A number that is the same for all requests of a program, and rarely that of another one. */
  int programHash() {
    return program.map(id -> StableHash.of(id.value())).orElse(NO_PROGRAM);
  }
}
