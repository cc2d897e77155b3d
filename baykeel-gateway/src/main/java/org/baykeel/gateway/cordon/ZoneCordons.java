package org.baykeel.gateway.cordon;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * The zones to whose engines nothing more is to be sent. New work stays away from the moment at
 * which a cordon is learnt. Lines of turns whose prompts an engine of the zone keeps leave one
 * after the other, each at its next turn, so that the engines elsewhere don't read all prompts at
 * once.
 *
 * <p>Invariant: nothing goes to a zone later than {@link #PART_OF_BOUND} of the bound after the
 * operator's request was acknowledged. When that was is not known here, but it was after the last
 * proof that all rows were known without this one; the time to leave is counted from that proof,
 * and there is none without a proof.
 */
public final class ZoneCordons {
  /**
   * The part of the bound within which all lines have left. The rest is for requests that are on
   * their way to an engine, for a slow machine and for a connection that is being made.
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
   * One zone out of service.
   *
   * @param version of the operator's row
   * @param learntNanos when this node learnt of it
   * @param drainedNanos when the last line has left
   */
  private record Cordon(long version, long learntNanos, long drainedNanos) {}

  /**
   * Creates the state of a node that knows of no cordon.
   *
   * @param boundMillis within which nothing more may reach the engines of a zone
   */
  public ZoneCordons(long boundMillis, EventLoop eventLoop, GatewayLog log) {
    this.drainNanos = Math.round(boundMillis * 1e6 * PART_OF_BOUND);
    this.eventLoop = eventLoop;
    this.log = log;
  }

  /**
   * Notes a proof.
   *
   * @param nanos all rows that were acknowledged before this moment have been told
   */
  public void recordProof(long nanos) {
    if (!everProven || nanos - provenNanos > 0) {
      everProven = true;
      provenNanos = nanos;
    }
  }

  /**
   * Adopts the whole list of zones out of service.
   *
   * @param versions the version of the operator's row by zone
   */
  public void replaceAll(Map<String, Long> versions) {
    Set<String> gone = new HashSet<>(cordons.keySet());
    gone.removeAll(versions.keySet());
    gone.forEach(this::lift);
    versions.forEach(this::cordon);
  }

  /** The operator takes a zone out of service, or says so again. */
  public void cordon(String zone, long version) {
    Cordon known = cordons.get(zone);
    if (known != null && known.version >= version) {
      return;
    }
    long now = eventLoop.nanoTime();
    // A row written again asks for what is already done; time is given only once.
    long emptyNanos = known == null ? drainedNanos(now) : known.drainedNanos;
    cordons.put(zone, new Cordon(version, now, emptyNanos));
    log.write(
        GatewayEvent.ZONE_CORDONED,
        "zone",
        zone,
        "version",
        version,
        "proven_ms_ago",
        everProven ? (now - provenNanos) / 1_000_000 : -1,
        "empty_in_ms",
        (emptyNanos - now) / 1_000_000);
  }

  private long drainedNanos(long now) {
    return everProven ? Math.max(now, Math.min(now, provenNanos) + drainNanos) : now;
  }

  /** The operator gives a zone back. */
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

  /** Whether any zone is out of service. */
  public boolean any() {
    return !cordons.isEmpty();
  }

  /** How many zones are out of service. */
  public int count() {
    return cordons.size();
  }

  /** Whether new work may go to a zone. */
  public boolean open(String zone) {
    return cordons.isEmpty() || !cordons.containsKey(zone);
  }

  /**
   * Whether a line of turns whose prompt an engine of a zone keeps may still have its next turn
   * there.
   *
   * @param hash a number of the line; lines leave in its order
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

  /** When a zone was given back last, of this process's clock; nothing if it never was. */
  public Long liftedNanos(String zone) {
    return liftedNanos.get(zone);
  }
}
