package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
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
 * store, and reads the rows of all nodes on start, after each write, and when requests of a node
 * that may miss the notices of its peers await them. So evidence outlives the nodes, and reaches
 * those that datagrams do not reach.
 */
final class EngineEndTable {
  private static final String TABLE = "engine-end";
  private static final int PAGE_ROWS = 500;
  private static final int MAX_ENDS = 32;

  /** Ends within this time are written together. */
  private static final long WRITE_DELAY_MILLIS = 20;

  /** Two rounds that requests await are so far apart for each node, in milliseconds. */
  private static final long ROUND_MILLIS_OF_NODE = 1;

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

    /**
     * Called for each row that was read after the start, and for each that is gone.
     *
     * @param inProgress the runs in progress and the claims that the row has
     */
    void rowRead(String nodeName, List<PeerMessage.EngineRunNotice> inProgress, long writtenNanos);

    /**
     * Called when the rows of all nodes have been read, with the times at which they were written.
     */
    void allRead(Map<String, Long> writtenNanosByNode);
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
  private final SharedRounds reads;
  private final SharedRounds confirmations;
  private boolean loaded;
  private long writtenNanos;
  private long keepUntilNanos;
  private EventLoop.Timer scheduledWrite;
  private long scheduledNanos;

  /**
   * Creates a table.
   *
   * @param nodeName the name of this node, which is the key of its row
   * @param clock converts times of the store
   * @param unresolvedRuns returns the runs of this node that its row should have
   * @param nodes returns the number of nodes, which share the calls to the store
   */
  EngineEndTable(
      String nodeName,
      DurableStore store,
      StoreClock clock,
      PeerMessageCodec codec,
      EventLoop eventLoop,
      GatewayLog log,
      Supplier<List<PeerMessage.EngineRunNotice>> unresolvedRuns,
      IntSupplier nodes,
      Listener listener) {
    this.ownRow = new RowAddress(TABLE, "", nodeName);
    this.store = store;
    this.clock = clock;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.log = log;
    this.unresolvedRuns = unresolvedRuns;
    this.listener = listener;
    LongSupplier pauseMillis = () -> nodes.getAsInt() * ROUND_MILLIS_OF_NODE;
    this.reads = new SharedRounds(this::readAll, pauseMillis, eventLoop);
    this.confirmations = new SharedRounds(this::confirm, pauseMillis, eventLoop);
    this.keepUntilNanos = eventLoop.nanoTime();
    this.writtenNanos = keepUntilNanos - RETRY_MILLIS * NANOS_PER_MILLI;
  }

  /** Reads the rows of all nodes once more, for requests that come from now on. */
  SharedRounds.Round read() {
    return reads.join();
  }

  /**
   * Writes the row with all that this node knows now and then reads the rows of all nodes. Of two
   * nodes that do so at the same time, at least one reads what the other wrote.
   */
  SharedRounds.Round confirm() {
    return confirmations.join();
  }

  /** Returns whether the store has not responded to a round for a time. */
  boolean isDelayed(long nanos) {
    return reads.isDelayed(nanos) || confirmations.isDelayed(nanos);
  }

  /** Writes the row now, and keeps it for a time although it has no evidence: this node runs. */
  void showRunning(long keepNanos) {
    keepUntilNanos = eventLoop.nanoTime() + keepNanos;
    scheduleWrite(0);
    eventLoop.schedule(keepNanos / NANOS_PER_MILLI + 1, this::removeNeedless);
  }

  /** Writes the row as soon as it may be written again, since peers may not receive notices. */
  void changedUrgently() {
    long dueNanos = writtenNanos + WRITE_DELAY_MILLIS * NANOS_PER_MILLI - eventLoop.nanoTime();
    scheduleWrite(Math.max(0, dueNanos / NANOS_PER_MILLI));
  }

  private void confirm(Runnable finished) {
    if (!loaded || !clock.known()) {
      eventLoop.schedule(LOAD_RETRY_MILLIS, () -> confirm(finished));
      return;
    }
    store.transact(
        rowNow(eventLoop.nanoTime()),
        outcome -> {
          if (outcome instanceof TransactionOutcome.Applied) {
            readAll(finished);
          } else {
            eventLoop.schedule(LOAD_RETRY_MILLIS, () -> confirm(finished));
          }
        });
  }

  private void readAll(Runnable finished) {
    read(new Scan(LOAD_RETRY_MILLIS, finished), null);
  }

  /** Reads the rows of all nodes, with retries until the store responds. */
  void load() {
    readAll(() -> {});
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
    store.transact(rowNow(eventLoop.nanoTime()), this::onWritten);
  }

  /** Returns the transaction that brings the row of this node up to date. */
  private Transaction rowNow(long nowNanos) {
    writtenNanos = nowNanos;
    ownEnds.values().removeIf(end -> expired(end, nowNanos));
    List<PeerMessage.EngineRunNotice> runs = unresolvedRuns.get();
    boolean needless = ownEnds.isEmpty() && runs.isEmpty() && nowNanos - keepUntilNanos >= 0;
    return needless
        ? new Transaction(List.of(), List.of(), List.of(ownRow))
        : new Transaction(
            List.of(), List.of(new Transaction.Put(ownRow, encode(runs, nowNanos))), List.of());
  }

  private static boolean expired(OwnEnd end, long nowNanos) {
    return nowNanos - end.endedNanos() > EngineEndHistory.LIFETIME_NANOS;
  }

  private void onWritten(TransactionOutcome outcome) {
    if (!(outcome instanceof TransactionOutcome.Applied)) {
      scheduleWrite(RETRY_MILLIS);
    } else if (!ownEnds.isEmpty()) {
      read(new Scan(RETRY_MILLIS, () -> {}), null);
      eventLoop.schedule(
          EngineEndHistory.LIFETIME_NANOS / NANOS_PER_MILLI + 1, this::removeExpired);
    }
  }

  private void removeNeedless() {
    if (eventLoop.nanoTime() - keepUntilNanos >= 0) {
      scheduleWrite(WRITE_DELAY_MILLIS);
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

  /** One reading of the rows of all nodes. */
  private final class Scan {
    private final long retryMillis;
    private final Runnable finished;
    private final Map<String, Long> writtenNanosByNode = new HashMap<>();

    Scan(long retryMillis, Runnable finished) {
      this.retryMillis = retryMillis;
      this.finished = finished;
    }
  }

  private void read(Scan scan, String fromKey) {
    store.read(
        new RangeRead(TABLE, "", fromKey, PAGE_ROWS), outcome -> onRead(scan, fromKey, outcome));
  }

  private void onRead(Scan scan, String fromKey, ReadOutcome outcome) {
    if (!(outcome instanceof ReadOutcome.Rows page)) {
      eventLoop.schedule(scan.retryMillis, () -> read(scan, fromKey));
      return;
    }
    page.rows().stream().filter(row -> !row.removed()).forEach(row -> adopt(scan, row));
    if (page.more()) {
      read(scan, page.rows().get(page.rows().size() - 1).address().key() + '\0');
      return;
    }
    if (loaded) {
      listener.allRead(scan.writtenNanosByNode);
    }
    loaded = true;
    scan.finished.run();
  }

  private void adopt(Scan scan, StoredRow row) {
    String node = row.address().key();
    boolean ofEarlierIncarnation = !loaded && node.equals(ownRow.key());
    try {
      StampedParts notices = StampedParts.decode(row.value());
      long rowNanos = clock.earliestNanos(notices.storeMillis());
      List<PeerMessage.EngineRunNotice> inProgress = new ArrayList<>();
      for (byte[] datagram : notices.parts()) {
        PeerMessage message = codec.decode(datagram).orElse(null);
        if (message instanceof PeerMessage.EngineEndNotice notice) {
          adopt(notice, notices.storeMillis(), ofEarlierIncarnation);
        } else if (message instanceof PeerMessage.EngineRunNotice run) {
          boolean unresolved = run.phase().unresolved();
          if (!loaded || unresolved) {
            listener.runRead(node, run, rowNanos);
          } else {
            inProgress.add(run);
          }
        }
      }
      scan.writtenNanosByNode.put(node, rowNanos);
      if (loaded && !node.equals(ownRow.key())) {
        listener.rowRead(node, inProgress, rowNanos);
      }
    } catch (RuntimeException e) {
      log.write(
          GatewayEvent.FAULT, "where", "engine end row", "key", node, "error", ErrorText.of(e));
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
