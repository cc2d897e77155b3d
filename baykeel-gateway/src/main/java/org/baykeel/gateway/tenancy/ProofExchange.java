package org.baykeel.gateway.tenancy;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.StoreClock;
import org.baykeel.gateway.storage.TableFreshness;

/**
 * Shares proofs of the configuration between nodes. A node's own check with the store renews its
 * proof only about once a second, so the proofs of other nodes are usually newer.
 *
 * <p>Invariant: a node sends only a proof that it has itself, with the store's time rounded down,
 * so a proof never becomes newer by being passed on through any number of nodes.
 */
public final class ProofExchange {
  private final Supplier<OptionalLong> version;
  private final TableFreshness freshness;
  private final StoreClock clock;
  private final EventLoop eventLoop;

  /**
   * Creates an exchange.
   *
   * @param version supplies the version of the active configuration; empty while there is none
   */
  public ProofExchange(
      Supplier<OptionalLong> version,
      TableFreshness freshness,
      StoreClock clock,
      EventLoop eventLoop) {
    this.version = version;
    this.freshness = freshness;
    this.clock = clock;
    this.eventLoop = eventLoop;
  }

  /** Returns the proof that this node can send to others; empty while it has none. */
  public Optional<ConfigurationProof> own() {
    OptionalLong inForce = version.get();
    if (inForce.isEmpty() || !clock.known() || freshness.ageNanos() == Long.MAX_VALUE) {
      return Optional.empty();
    }
    long provenNanos = eventLoop.nanoTime() - freshness.ageNanos();
    return Optional.of(
        new ConfigurationProof(inForce.getAsLong(), clock.earliestStoreMillis(provenNanos)));
  }

  /** Processes a proof that a peer sent in its reply to a query of this node. */
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
