package org.baykeel.gateway.load;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.LoadEstimate;
import org.baykeel.gateway.peer.ByteBudget;
import org.baykeel.gateway.peer.EngineLoadNoticeCodec;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Publishes the reports that this node received to the nodes of its region, and packs those of one
 * round into as few datagrams as possible. The bytes sent are limited: the reporter queries an
 * engine only if there is budget to publish its report.
 */
final class LoadNoticePublisher {
  /**
   * Bytes of notices that one node sends per second, counted on the link and to all nodes together.
   */
  static final long BYTES_PER_SECOND = 16_384;

  /**
   * Bytes that may be sent at once after a time without notices: one report to the largest number
   * of nodes that can be known.
   */
  static final long MAX_BURST_BYTES = 131_072;

  /** Within this time all responses of one round arrive. */
  private static final long BATCH_MILLIS = 10;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PeerDirectory peers;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final EventLoop eventLoop;
  private final ByteBudget budget;
  private final Map<EngineId, Pending> pending = new LinkedHashMap<>();
  private long reservedBytes;
  private boolean flushDue;
  private long datagrams;
  private long bytes;

  /** A report that is to be published. */
  private record Pending(LoadReport report, long asOfNanos, long reservedBytes) {}

  LoadNoticePublisher(
      PeerDirectory peers, PeerTransport transport, PeerMessageCodec codec, EventLoop eventLoop) {
    this.peers = peers;
    this.transport = transport;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.budget = new ByteBudget(BYTES_PER_SECOND, MAX_BURST_BYTES, eventLoop.nanoTime());
  }

  /** Returns the bytes of a round without its engines. */
  long roundBytes() {
    return EngineLoadNoticeCodec.emptyWireBytes() * peers.peersInRegion().size();
  }

  /** Returns the bytes that one engine adds to a round. */
  long entryBytes(EngineId engine) {
    return (long) EngineLoadNoticeCodec.entryBytes(engine) * peers.peersInRegion().size();
  }

  /** Returns whether the budget covers these bytes, or is at its maximum. */
  boolean hasBudget(long wantedBytes) {
    return budget.available(eventLoop.nanoTime()) - reservedBytes
        >= Math.min(wantedBytes, MAX_BURST_BYTES);
  }

  /** Reserves bytes for a report that is queried now and published later. */
  void reserve(long newBytes) {
    reservedBytes += newBytes;
  }

  /** Returns bytes reserved by {@link #reserve} to the budget. */
  void release(long reserved) {
    reservedBytes -= reserved;
  }

  /**
   * Publishes a report soon, together with others.
   *
   * @param reserved the bytes reserved for it by {@link #reserve}
   */
  void publish(EngineId engine, LoadReport report, long asOfNanos, long reserved) {
    Pending before = pending.put(engine, new Pending(report, asOfNanos, reserved));
    if (before != null) {
      release(before.reservedBytes());
    }
    if (!flushDue) {
      flushDue = true;
      eventLoop.schedule(BATCH_MILLIS, this::flush);
    }
  }

  private void flush() {
    flushDue = false;
    long now = eventLoop.nanoTime();
    List<PeerMessage.ReportedLoad> fresh =
        pending.entrySet().stream()
            .filter(entry -> now - entry.getValue().asOfNanos() < LoadEstimate.STALE_NANOS)
            .map(entry -> toReportedLoad(entry.getKey(), entry.getValue(), now))
            .toList();
    for (Iterator<Pending> pendingReport = pending.values().iterator(); pendingReport.hasNext(); ) {
      release(pendingReport.next().reservedBytes());
      pendingReport.remove();
    }
    EngineLoadNoticeCodec.split(fresh).forEach(notice -> send(notice, now));
  }

  private static PeerMessage.ReportedLoad toReportedLoad(
      EngineId engine, Pending pendingReport, long nowNanos) {
    long ageMillis = (nowNanos - pendingReport.asOfNanos() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    LoadReport report = pendingReport.report();
    return new PeerMessage.ReportedLoad(engine, ageMillis, report.startMillis(), report.load());
  }

  private void send(PeerMessage.EngineLoadNotice notice, long nowNanos) {
    byte[] datagram = codec.encode(notice);
    long cost = ByteBudget.wireBytes(datagram.length) * peers.peersInRegion().size();
    // A round that was split over several datagrams, or nodes that joined since, cost more bytes
    // than were reserved.
    budget.consume(cost, nowNanos);
    peers.peersInRegion().forEach(peer -> transport.send(peer, datagram));
    datagrams += peers.peersInRegion().size();
    bytes += cost;
  }

  /** Returns the number of datagrams sent. */
  long datagrams() {
    return datagrams;
  }

  /** Returns the bytes that they took on the link. */
  long bytes() {
    return bytes;
  }
}
