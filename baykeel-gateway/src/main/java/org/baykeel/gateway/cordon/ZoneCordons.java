package org.baykeel.gateway.cordon;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * The zones to whose engines nothing more may be sent. New work avoids a zone as soon as this node
 * learns of its cordon. Conversations whose prompts are cached at an engine of the zone leave one
 * after the other, each at its next turn, so that the engines of other zones don't prefill all of
 * their prompts at once.
 *
 * <p>Invariant: nothing is sent to a zone later than {@link #PART_OF_BOUND} of the bound after the
 * operator's request was acknowledged. The moment of that acknowledgement is not known here, but it
 * is after the last proof that all rows were known without this one. The time to leave is therefore
 * counted from that proof, and there is none without a proof.
 */
public final class ZoneCordons {
  /**
   * The part of the bound within which all conversations have left. The rest is for requests that
   * are on their way to an engine, for a slow machine and for a connection that is being
   * established.
   */
  static final double PART_OF_BOUND = 0.5;

  private final long drainNanos;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final Map<String, Cordon> cordons = new HashMap<>();
  private final Map<String, Long> liftedNanos = new HashMap<>();
  private boolean everProven;
  private long provenNanos;

  /**
   * One cordoned zone.
   *
   * @param version the version of the operator's row
   * @param learntNanos when this node learnt of it
   * @param drainedNanos when the last conversation has left
   */
  private record Cordon(long version, long learntNanos, long drainedNanos) {}

  /**
   * Creates the state of a node that knows of no cordon.
   *
   * @param boundMillis the time within which nothing more may reach the engines of a zone, in
   *     milliseconds
   */
  public ZoneCordons(long boundMillis, EventLoop eventLoop, GatewayLog log) {
    this.drainNanos = Math.round(boundMillis * 1e6 * PART_OF_BOUND);
    this.eventLoop = eventLoop;
    this.log = log;
  }

  /**
   * Records a proof that the rows are complete up to a moment.
   *
   * @param nanos all rows that were acknowledged before this moment have been delivered
   */
  public void recordProof(long nanos) {
    if (!everProven || nanos - provenNanos > 0) {
      everProven = true;
      provenNanos = nanos;
    }
  }

  /**
   * Adopts the complete list of cordoned zones.
   *
   * @param versions the version of the operator's row by zone
   */
  public void replaceAll(Map<String, Long> versions) {
    Set<String> gone = new HashSet<>(cordons.keySet());
    gone.removeAll(versions.keySet());
    gone.forEach(this::lift);
    versions.forEach(this::cordon);
  }

  /** Handles a row by which the operator cordons a zone. The row may repeat an earlier one. */
  public void cordon(String zone, long version) {
    Cordon known = cordons.get(zone);
    if (known != null && known.version >= version) {
      return;
    }
    long now = eventLoop.nanoTime();
    // A row that is written again repeats a request that is already carried out, so it does not
    // extend the time to leave.
    long drainedNanos = known == null ? drainedNanos(now) : known.drainedNanos;
    cordons.put(zone, new Cordon(version, now, drainedNanos));
    log.write(
        GatewayEvent.ZONE_CORDONED,
        "zone",
        zone,
        "version",
        version,
        "proven_ms_ago",
        everProven ? (now - provenNanos) / 1_000_000 : -1,
        "empty_in_ms",
        (drainedNanos - now) / 1_000_000);
  }

  private long drainedNanos(long now) {
    return everProven ? Math.max(now, Math.min(now, provenNanos) + drainNanos) : now;
  }

  /** Handles the end of a cordon. */
  public void lift(String zone) {
    Cordon known = cordons.remove(zone);
    if (known == null) {
      return;
    }
    long now = eventLoop.nanoTime();
    liftedNanos.put(zone, now);
    log.write(
        GatewayEvent.ZONE_UNCORDONED,
        "zone",
        zone,
        "version",
        known.version,
        "out_ms",
        (now - known.learntNanos) / 1_000_000);
  }

  /** Returns whether any zone is cordoned. */
  public boolean any() {
    return !cordons.isEmpty();
  }

  /** Returns the number of cordoned zones. */
  public int count() {
    return cordons.size();
  }

  /** Returns whether new work may go to a zone. */
  public boolean open(String zone) {
    return cordons.isEmpty() || !cordons.containsKey(zone);
  }

  /**
   * Returns whether a conversation whose prompt is cached at an engine of a zone may still have its
   * next turn there.
   *
   * @param hash a hash of the conversation; conversations leave in its unsigned order
   */
  public boolean openToConversation(String zone, int hash, long nowNanos) {
    Cordon cordon = cordons.get(zone);
    if (cordon == null) {
      return true;
    }
    long spreadNanos = cordon.drainedNanos - cordon.learntNanos;
    long stayNanos = (long) (spreadNanos * (Integer.toUnsignedLong(hash) / 0x1p32));
    return nowNanos - cordon.learntNanos < stayNanos;
  }

  /**
   * Returns when the last cordon of a zone ended, by this process's clock; null if there was none.
   */
  public Long liftedNanos(String zone) {
    return liftedNanos.get(zone);
  }
}
