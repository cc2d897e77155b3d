package org.baykeel.gateway.tenancy;

import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Finds the tenant of a key, as far as the configuration is recent enough to say so.
 *
 * <p>Invariant: a key is accepted only if the configuration was proven to be the newest one at most
 * {@link Bounds#acceptMillis} before the request arrived, judged by a clock that runs on while the
 * process stands still. A key is ruled out only by a configuration proven as of the request's
 * arrival, or by one proven shortly before if the key was ruled out earlier.
 */
public final class KeyAuthenticator {
  /** How long a request waits for the store's word on a key that nobody knows here. */
  private static final long CHECK_MILLIS = 200;

  /** Keys that were ruled out and are remembered; all are forgotten beyond this. */
  private static final int MAX_REJECTED = 2_048;

  private final Supplier<TenantDirectory> directory;
  private final ConfigurationFreshness freshness;
  private final Bounds bounds;
  private final Set<ApiKey> rejected = new LinkedHashSet<>();
  private TenantDirectory lastDirectory = TenantDirectory.NONE;

  /**
   * How old the proof of the configuration may be.
   *
   * @param acceptMillis before the arrival of a request whose key is accepted
   * @param rejectMillis before the arrival of a request whose key was ruled out earlier
   */
  public record Bounds(long acceptMillis, long rejectMillis) {
    /**
     * For how long the store's feed may be silent about changes before it says that it has
     * forgotten its history.
     */
    private static final long FEED_SILENCE_MILLIS = 1_000;

    /** For clocks that are read in whole milliseconds and work between the reading and the use. */
    private static final long MARGIN_MILLIS = 100;

    /** What is left of a bound that is hardly longer than the feed's silence. */
    private static final double MIN_FRACTION_OF_REVOCATION = 0.25;

    /** The part of the time within which a new key must work everywhere. */
    private static final double APPLY_FRACTION = 0.5;

    /**
     * Derives the bounds from the operator's.
     *
     * @param revocationMillis time after which a key that was taken away must not work anywhere
     * @param applyMillis time after which a new configuration must be in force
     */
    public static Bounds of(long revocationMillis, long applyMillis) {
      long acceptMillis = revocationMillis - FEED_SILENCE_MILLIS - MARGIN_MILLIS;
      long leastMillis = Math.round(revocationMillis * MIN_FRACTION_OF_REVOCATION);
      return new Bounds(
          Math.max(leastMillis, acceptMillis), Math.round(applyMillis * APPLY_FRACTION));
    }
  }

  /** What is known of a key. */
  public sealed interface KeyDecision {
    /** It is a tenant's. */
    record Accepted(Tenant tenant) implements KeyDecision {}

    /** No tenant holds it. */
    record Rejected() implements KeyDecision {}

    /**
     * The configuration may be too old to tell.
     *
     * @param ageMillis how long before the request it was proven last; negative if never
     */
    record Undecided(long ageMillis) implements KeyDecision {}
  }

  /**
   * Creates an authenticator.
   *
   * @param directory the tenants of the configuration in force
   * @param freshness up to when that configuration is known to be the newest
   * @param bounds how old that proof may be
   */
  public KeyAuthenticator(
      Supplier<TenantDirectory> directory, ConfigurationFreshness freshness, Bounds bounds) {
    this.directory = directory;
    this.freshness = freshness;
    this.bounds = bounds;
  }

  /** Whether keys can be accepted now. */
  public boolean canAcceptKeys() {
    return toMillis(freshness.ageNanos()) <= bounds.acceptMillis();
  }

  /**
   * Judges a key.
   *
   * @param key the key that a request carries; null if it carries none
   * @param receivedNanos when the request arrived
   * @param answer takes the verdict, exactly once, possibly before this returns
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

  /** Keys that a newer configuration no longer holds need no question to the store. */
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
