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
 * Tells the reports that this node got to the nodes of its region, those of one round in as few
 * datagrams as hold them. The bytes are bounded: a report is asked for only when there is room to
 * tell it.
 */
final class LoadNoticePublisher {
  /** What one node sends of notices in a second, on the link and to all nodes together. */
  static final long BYTES_PER_SECOND = 16_384;

  /** What may be sent at once after a calm time: a report to the most nodes that are known. */
  static final long MAX_BURST_BYTES = 131_072;

  /** Answers of one round come within this time. */
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

  /** A report to tell. */
  private record Pending(LoadReport report, long asOfNanos, long reservedBytes) {}

  LoadNoticePublisher(
      PeerDirectory peers, PeerTransport transport, PeerMessageCodec codec, EventLoop eventLoop) {
    this.peers = peers;
    this.transport = transport;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.budget = new ByteBudget(BYTES_PER_SECOND, MAX_BURST_BYTES, eventLoop.nanoTime());
  }

  /** The bytes that a round costs besides its engines. */
  long roundBytes() {
    return EngineLoadNoticeCodec.emptyWireBytes() * peers.peersInRegion().size();
  }

  /** The bytes that telling of an engine adds to a round. */
  long entryBytes(EngineId engine) {
    return (long) EngineLoadNoticeCodec.entryBytes(engine) * peers.peersInRegion().size();
  }

  /** Whether there is room for bytes, or as much as there ever is. */
  boolean hasBudget(long wantedBytes) {
    return budget.available(eventLoop.nanoTime()) - reservedBytes
        >= Math.min(wantedBytes, MAX_BURST_BYTES);
  }

  /** Sets bytes aside for what is asked now and told later. */
  void reserve(long newBytes) {
    reservedBytes += newBytes;
  }

  /** Gives back what {@link #reserve} set aside. */
  void release(long reserved) {
    reservedBytes -= reserved;
  }

  /**
   * Tells a report soon, together with others.
   *
   * @param reserved what {@link #reserve} set aside for it
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
    // Answers that came apart, or nodes that became known since, cost more than was set aside.
    budget.consume(cost, nowNanos);
    peers.peersInRegion().forEach(peer -> transport.send(peer, datagram));
    datagrams += peers.peersInRegion().size();
    bytes += cost;
  }

  /** Datagrams sent so far. */
  long datagrams() {
    return datagrams;
  }

  /** Bytes that they took on the link. */
  long bytes() {
    return bytes;
  }
}
