package org.baykeel.gateway.tenancy;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.StoreClock;

/**
 * Lets nodes share what proves their configuration. A node's own question to the store proves it
 * only every second or so; what the others know is mostly newer.
 *
 * <p>Invariant: what a node tells is a proof that it has itself, by the store's clock rounded down,
 * so no proof becomes younger on its way through any number of nodes.
 */
public final class ProofExchange {
  private final Supplier<OptionalLong> version;
  private final ConfigurationFreshness freshness;
  private final StoreClock clock;
  private final EventLoop eventLoop;

  /**
   * Creates an exchange.
   *
   * @param version of the configuration in force; nothing while there is none
   */
  public ProofExchange(
      Supplier<OptionalLong> version,
      ConfigurationFreshness freshness,
      StoreClock clock,
      EventLoop eventLoop) {
    this.version = version;
    this.freshness = freshness;
    this.clock = clock;
    this.eventLoop = eventLoop;
  }

  /** What this node can tell others; nothing while it has no proof. */
  public Optional<ConfigurationProof> own() {
    OptionalLong inForce = version.get();
    if (inForce.isEmpty() || !clock.known() || freshness.ageNanos() == Long.MAX_VALUE) {
      return Optional.empty();
    }
    long provenNanos = eventLoop.nanoTime() - freshness.ageNanos();
    return Optional.of(
        new ConfigurationProof(inForce.getAsLong(), clock.earliestStoreMillis(provenNanos)));
  }

  /** Takes what another node tells in answer to a question of this one. */
  public void onProof(ConfigurationProof proof) {
    OptionalLong inForce = version.get();
    if (inForce.isEmpty() || !clock.known() || proof.version() < inForce.getAsLong()) {
      return;
    }
    if (proof.version() > inForce.getAsLong()) {
      freshness.check();
      return;
    }
    long now = eventLoop.nanoTime();
    long nanos = clock.earliestNanos(proof.storeMillis());
    freshness.recordProof(nanos - now < 0 ? nanos : now);
  }
}
