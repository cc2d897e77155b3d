package org.baykeel.gateway.tenancy;

import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.baykeel.gateway.storage.TableFreshness;

/**
 * Finds the tenant of a key, provided that the configuration is recent enough for a decision.
 *
 * <p>Invariant: a key is accepted only if the configuration was proven to be the newest one at most
 * {@link Bounds#acceptMillis} before the request arrived, measured by a clock that continues while
 * the process is paused. A key is rejected only by a configuration that is proven as of the
 * request's arrival, or by one proven shortly before if the key was rejected earlier.
 */
public final class KeyAuthenticator {
  /**
   * How long a request whose key is not in this node's configuration waits for a check with the
   * store.
   */
  private static final long CHECK_MILLIS = 200;

  /** The most rejected keys that are remembered; when the limit is reached, all are removed. */
  private static final int MAX_REJECTED = 2_048;

  private final Supplier<TenantDirectory> directory;
  private final TableFreshness freshness;
  private final Bounds bounds;
  private final Set<ApiKey> rejected = new LinkedHashSet<>();
  private TenantDirectory lastDirectory = TenantDirectory.NONE;

  /**
   * The maximum age of the configuration's proof.
   *
   * @param acceptMillis the age in milliseconds, at the arrival of a request, up to which its key
   *     can be accepted
   * @param rejectMillis the age in milliseconds, at the arrival of a request, up to which a key
   *     that was rejected earlier is rejected again without a check
   */
  public record Bounds(long acceptMillis, long rejectMillis) {
    /**
     * How long the store's feed may fail to report changes before it reports that its history is
     * lost.
     */
    private static final long FEED_SILENCE_MILLIS = 1_000;

    /**
     * A margin for clocks that are read in whole milliseconds, and for the processing between the
     * reading and its use.
     */
    private static final long MARGIN_MILLIS = 100;

    /**
     * The smallest accepted age relative to the revocation time. It applies if the revocation time
     * is hardly longer than the silence of the feed.
     */
    private static final double MIN_FRACTION_OF_REVOCATION = 0.25;

    /**
     * The age up to which a rejection is repeated without a check, as a fraction of the time within
     * which a new key must work on all nodes.
     */
    private static final double APPLY_FRACTION = 0.5;

    /**
     * Derives the bounds from the operator's settings.
     *
     * @param revocationMillis the time after which a removed key must not work on any node
     * @param applyMillis the time after which a new configuration must be active
     */
    public static Bounds of(long revocationMillis, long applyMillis) {
      long acceptMillis = revocationMillis - FEED_SILENCE_MILLIS - MARGIN_MILLIS;
      long leastMillis = Math.round(revocationMillis * MIN_FRACTION_OF_REVOCATION);
      return new Bounds(
          Math.max(leastMillis, acceptMillis), Math.round(applyMillis * APPLY_FRACTION));
    }
  }

  /** The decision on a key. */
  public sealed interface KeyDecision {
    /** The key belongs to a tenant. */
    record Accepted(Tenant tenant) implements KeyDecision {}

    /** The key belongs to no tenant, or the request carries no key. */
    record Rejected() implements KeyDecision {}

    /**
     * The configuration may be too old for a decision.
     *
     * @param ageMillis the age of its proof at the arrival of the request; negative without a proof
     */
    record Undecided(long ageMillis) implements KeyDecision {}
  }

  /**
   * Creates an authenticator.
   *
   * @param directory supplies the tenants of the active configuration
   * @param freshness the time up to which that configuration is known to be the newest
   * @param bounds the maximum age of that proof
   */
  public KeyAuthenticator(
      Supplier<TenantDirectory> directory, TableFreshness freshness, Bounds bounds) {
    this.directory = directory;
    this.freshness = freshness;
    this.bounds = bounds;
  }

  /** Returns whether keys can be accepted now. */
  public boolean canAcceptKeys() {
    return toMillis(freshness.ageNanos()) <= bounds.acceptMillis();
  }

  /**
   * Decides on a key.
   *
   * @param key the key of a request; null if it carries none
   * @param receivedNanos the arrival time of the request
   * @param answer receives the decision exactly once, possibly before this method returns
   */
  public void authenticate(ApiKey key, long receivedNanos, Consumer<KeyDecision> answer) {
    long ageMillis = toMillis(freshness.ageNanosAt(receivedNanos));
    if (ageMillis > bounds.acceptMillis()) {
      answer.accept(undecided(ageMillis));
      return;
    }
    rejectRemovedKeys();
    KeyDecision known = lookUp(key);
    if (known != null) {
      answer.accept(known);
    } else if (rejected.contains(key) && ageMillis <= bounds.rejectMillis()) {
      answer.accept(new KeyDecision.Rejected());
    } else {
      freshness.await(
          receivedNanos,
          CHECK_MILLIS,
          proven -> answer.accept(decideAfterCheck(key, proven, ageMillis)));
    }
  }

  private KeyDecision lookUp(ApiKey key) {
    if (key == null) {
      return new KeyDecision.Rejected();
    }
    return directory.get().findByKey(key).map(KeyDecision.Accepted::new).orElse(null);
  }

  private KeyDecision decideAfterCheck(ApiKey key, boolean proven, long ageMillis) {
    if (!proven) {
      return undecided(ageMillis);
    }
    rejectRemovedKeys();
    KeyDecision known = lookUp(key);
    if (known == null) {
      reject(key);
    }
    return Objects.requireNonNullElseGet(known, KeyDecision.Rejected::new);
  }

  /** Rejects keys that a newer configuration has removed; they need no check with the store. */
  private void rejectRemovedKeys() {
    TenantDirectory current = directory.get();
    if (current == lastDirectory) {
      return;
    }
    for (ApiKey key : lastDirectory.keys()) {
      if (current.findByKey(key).isEmpty()) {
        reject(key);
      }
    }
    lastDirectory = current;
  }

  private void reject(ApiKey key) {
    if (rejected.size() >= MAX_REJECTED) {
      rejected.clear();
    }
    rejected.add(key);
  }

  private static KeyDecision undecided(long ageMillis) {
    return new KeyDecision.Undecided(ageMillis == Long.MAX_VALUE ? -1 : ageMillis);
  }

  private static long toMillis(long nanos) {
    return nanos == Long.MAX_VALUE ? Long.MAX_VALUE : nanos / 1_000_000;
  }
}
