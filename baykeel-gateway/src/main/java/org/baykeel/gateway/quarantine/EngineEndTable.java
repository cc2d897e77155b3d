package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.EngineEndCodec;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StampedParts;
import org.baykeel.gateway.storage.StoreClock;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;
import org.baykeel.gateway.telemetry.ErrorText;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Keeps the ends that this node observed, and its unresolved runs, in a row of its own in the
 * store, and reads the rows of all nodes on start and after each write. So evidence outlives the
 * nodes, and a node that does not receive the notices of its peers learns it when it observes an
 * end itself.
 */
final class EngineEndTable {
  private static final String TABLE = "engine-end";
  private static final int PAGE_ROWS = 500;
  private static final int MAX_ENDS = 32;

  /** Ends within this time are written together. */
  private static final long WRITE_DELAY_MILLIS = 20;

  private static final long RETRY_MILLIS = 1_000;
  private static final long LOAD_RETRY_MILLIS = 100;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Receives the ends in the rows of all nodes. */
  interface Listener {
    /**
     * Called for each end that was read.
     *
     * @param endedNanos when the engine ended, by the event loop's clock
     */
    void endRead(EngineIncarnation engine, long endedNanos, List<RequestFingerprint> requests);

    /**
     * Called for each run that was read.
     *
     * @param nodeName the node whose row has it
     * @param writtenNanos when the row was written, by the event loop's clock
     */
    void runRead(String nodeName, PeerMessage.EngineRunNotice run, long writtenNanos);
  }

  /** An end that this node observed. */
  record OwnEnd(long endedNanos, List<RequestFingerprint> requests) {}

  private final RowAddress ownRow;
  private final DurableStore store;
  private final StoreClock clock;
  private final PeerMessageCodec codec;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final Supplier<List<PeerMessage.EngineRunNotice>> unresolvedRuns;
  private final Listener listener;
  private final Map<EngineIncarnation, OwnEnd> ownEnds = new LinkedHashMap<>();
  private boolean loaded;
  private EventLoop.Timer scheduledWrite;
  private long scheduledNanos;

  /**
   * Creates a table.
   *
   * @param nodeName the name of this node, which is the key of its row
   * @param clock converts times of the store
   * @param unresolvedRuns returns the runs of this node that its row should have
   */
  EngineEndTable(
      String nodeName,
      DurableStore store,
      StoreClock clock,
      PeerMessageCodec codec,
      EventLoop eventLoop,
      GatewayLog log,
      Supplier<List<PeerMessage.EngineRunNotice>> unresolvedRuns,
      Listener listener) {
    this.ownRow = new RowAddress(TABLE, "", nodeName);
    this.store = store;
    this.clock = clock;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.log = log;
    this.unresolvedRuns = unresolvedRuns;
    this.listener = listener;
  }

  /** Reads the rows of all nodes, with retries until the store responds. */
  void load() {
    read(null);
  }

  /** Adds an end that this node observed; it is written soon. */
  void addOwn(EngineIncarnation engine, long endedNanos, List<RequestFingerprint> requests) {
    ownEnds.merge(engine, new OwnEnd(endedNanos, requests), EngineEndTable::merged);
    if (ownEnds.size() > MAX_ENDS) {
      ownEnds.remove(ownEnds.keySet().iterator().next());
    }
    scheduleWrite(WRITE_DELAY_MILLIS);
  }

  private static OwnEnd merged(OwnEnd one, OwnEnd other) {
    Set<RequestFingerprint> requests = new LinkedHashSet<>(one.requests());
    requests.addAll(other.requests());
    return new OwnEnd(Math.min(one.endedNanos(), other.endedNanos()), List.copyOf(requests));
  }

  /** Writes the row within a time, since there are further unresolved runs. */
  void changedWithin(long millis) {
    scheduleWrite(millis);
  }

  /** Removes an end that has proved wrong. */
  void withdraw(EngineIncarnation engine) {
    if (ownEnds.remove(engine) != null) {
      scheduleWrite(WRITE_DELAY_MILLIS);
    }
  }

  /** Returns whether the rows of all nodes have been read. */
  boolean loaded() {
    return loaded;
  }

  /** Schedules a write, unless one is scheduled for an earlier time. */
  private void scheduleWrite(long millis) {
    long nanos = eventLoop.nanoTime() + millis * NANOS_PER_MILLI;
    if (scheduledWrite == null || nanos - scheduledNanos < 0) {
      if (scheduledWrite != null) {
        scheduledWrite.cancel();
      }
      scheduledNanos = nanos;
      scheduledWrite = eventLoop.schedule(millis, this::write);
    }
  }

  private void write() {
    if (!loaded || !clock.known()) {
      // The row of this node's earlier incarnation must be read before it is replaced.
      scheduledWrite = eventLoop.schedule(RETRY_MILLIS, this::write);
      return;
    }
    scheduledWrite = null;
    long now = eventLoop.nanoTime();
    ownEnds.values().removeIf(end -> expired(end, now));
    List<PeerMessage.EngineRunNotice> runs = unresolvedRuns.get();
    Transaction transaction =
        ownEnds.isEmpty() && runs.isEmpty()
            ? new Transaction(List.of(), List.of(), List.of(ownRow))
            : new Transaction(
                List.of(), List.of(new Transaction.Put(ownRow, encode(runs, now))), List.of());
    store.transact(transaction, this::onWritten);
  }

  private static boolean expired(OwnEnd end, long nowNanos) {
    return nowNanos - end.endedNanos() > EngineEndHistory.LIFETIME_NANOS;
  }

  private void onWritten(TransactionOutcome outcome) {
    if (!(outcome instanceof TransactionOutcome.Applied)) {
      scheduleWrite(RETRY_MILLIS);
    } else if (!ownEnds.isEmpty()) {
      read(null);
      eventLoop.schedule(
          EngineEndHistory.LIFETIME_NANOS / NANOS_PER_MILLI + 1, this::removeExpired);
    }
  }

  private void removeExpired() {
    long now = eventLoop.nanoTime();
    if (ownEnds.values().removeIf(end -> expired(end, now))) {
      scheduleWrite(WRITE_DELAY_MILLIS);
    }
  }

  private byte[] encode(List<PeerMessage.EngineRunNotice> runs, long nowNanos) {
    List<byte[]> notices = new ArrayList<>();
    for (Map.Entry<EngineIncarnation, OwnEnd> end : ownEnds.entrySet()) {
      List<RequestFingerprint> requests = end.getValue().requests();
      int count = Math.min(requests.size(), EngineEndCodec.MAX_REQUESTS);
      long ageMillis = (nowNanos - end.getValue().endedNanos()) / NANOS_PER_MILLI;
      notices.add(
          codec.encode(
              new PeerMessage.EngineEndNotice(
                  end.getKey(), ageMillis, requests.subList(0, count))));
    }
    runs.forEach(run -> notices.add(codec.encode(run)));
    return new StampedParts(clock.earliestStoreMillis(nowNanos), notices).encode();
  }

  private void read(String fromKey) {
    store.read(new RangeRead(TABLE, "", fromKey, PAGE_ROWS), outcome -> onRead(fromKey, outcome));
  }

  private void onRead(String fromKey, ReadOutcome outcome) {
    if (!(outcome instanceof ReadOutcome.Rows page)) {
      eventLoop.schedule(loaded ? RETRY_MILLIS : LOAD_RETRY_MILLIS, () -> read(fromKey));
      return;
    }
    page.rows().stream().filter(row -> !row.removed()).forEach(this::adopt);
    if (page.more()) {
      read(page.rows().get(page.rows().size() - 1).address().key() + '\0');
    } else {
      loaded = true;
    }
  }

  private void adopt(StoredRow row) {
    boolean ofEarlierIncarnation = !loaded && row.address().key().equals(ownRow.key());
    try {
      StampedParts notices = StampedParts.decode(row.value());
      for (byte[] datagram : notices.parts()) {
        codec
            .decode(datagram)
            .ifPresent(
                message ->
                    adopt(
                        row.address().key(), message, notices.storeMillis(), ofEarlierIncarnation));
      }
    } catch (RuntimeException e) {
      log.write(
          GatewayEvent.FAULT,
          "where",
          "engine end row",
          "key",
          row.address().key(),
          "error",
          ErrorText.of(e));
    }
  }

  private void adopt(
      String nodeName, PeerMessage message, long writtenStoreMillis, boolean ofEarlierIncarnation) {
    if (message instanceof PeerMessage.EngineEndNotice notice) {
      adopt(notice, writtenStoreMillis, ofEarlierIncarnation);
    } else if (message instanceof PeerMessage.EngineRunNotice run) {
      listener.runRead(nodeName, run, clock.earliestNanos(writtenStoreMillis));
    }
  }

  private void adopt(
      PeerMessage.EngineEndNotice notice, long writtenStoreMillis, boolean ofEarlierIncarnation) {
    long endedNanos = clock.earliestNanos(writtenStoreMillis - notice.ageMillis());
    if (ofEarlierIncarnation) {
      ownEnds.putIfAbsent(notice.engine(), new OwnEnd(endedNanos, notice.requests()));
    }
    listener.endRead(notice.engine(), endedNanos, notice.requests());
  }
}
