package org.baykeel.gateway.ratelimit;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StoreClock;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * The leases of all partitions: tracks which node holds each of them, and acquires, renews and
 * releases the leases of this node.
 *
 * <p>Invariant: at any moment at most one incarnation of one process considers itself the holder of
 * a partition. A lease is written on the condition that the row is unchanged since it was read, and
 * its stored expiry is never earlier than the expiry that the holder uses for itself. It is taken
 * from another holder only after the store's clock has certainly passed that expiry. A process at
 * the holder's own address is its successor, since the earlier process must be dead.
 */
public final class PartitionLeases {
  static final String TABLE = "limit";

  /**
   * How long a lease lasts. With a longer lease, the tenants of a dead holder wait longer for a new
   * one. With a shorter lease, requests of tenants with limits stop earlier in a store outage than
   * they need to, since API keys remain valid in an outage for about as long as this lease.
   */
  static final long LEASE_MILLIS = 4_000;

  /**
   * The interval between renewals. It is shorter than is necessary to keep a lease, because tenants
   * with limits are served in a store outage only for the lease time that remained at its start.
   */
  private static final long RENEW_MILLIS = 600;

  /** The shortest interval between reads of the rows while some partition is free. */
  private static final long REFRESH_MILLIS = 60;

  /**
   * The shortest interval between reads for a partition whose lease has not expired; its holder may
   * have released it.
   */
  private static final long REREAD_MILLIS = 300;

  /**
   * The delay per rank after which a node takes a free partition. It covers a read and a write of
   * the store, so that a node sees what the nodes that rank before it have written.
   */
  private static final long WAIT_MILLIS_PER_RANK = 25;

  private static final int MAX_RANK = 12;

  /**
   * The delay after a start until this node acquires the free partitions for which it ranks first.
   * By then the other nodes are known, so that free partitions are spread evenly.
   */
  private static final long FIRST_ACQUIRE_MILLIS = 2_500;

  private final PeerAddress self;
  private final long incarnation;
  private final DurableStore store;
  private final StoreClock clock;
  private final EventLoop eventLoop;
  private final ToIntFunction<LimitPartition> rankOfSelf;
  private final GatewayLog log;
  private final Map<LimitPartition, Partition> partitions = new LinkedHashMap<>();
  private boolean refreshing;
  private boolean refreshed;
  private boolean stopped;
  private long refreshedNanos;
  private long lastTenureNumber;

  /**
   * An uninterrupted period during which this node holds a partition.
   *
   * @param number the sequence number of the period within this incarnation of the process
   * @param first whether no node has ever held the partition before
   */
  record Tenure(long number, boolean first) {}

  /** The known state of one partition. */
  private static final class Partition {
    private final LimitPartition id;
    private LeaseRow row;
    private long version = Transaction.ABSENT;
    private long validUntilNanos;
    private Tenure tenure;
    private boolean writing;
    private boolean requested;
    private boolean delayed;
    private boolean delayOver;
    private boolean readRequested;
    private long readRequestedNanos;

    Partition(LimitPartition id) {
      this.id = id;
    }
  }

  /**
   * Creates leases whose holders are not known yet.
   *
   * @param self the address at which the other nodes reach this one
   * @param clock this node's estimate of the store's clock
   * @param incarnation a random number that identifies this run of the process
   * @param rankOfSelf this node's rank, from 0, in the order in which nodes take a free partition
   */
  public PartitionLeases(
      PeerAddress self,
      DurableStore store,
      StoreClock clock,
      EventLoop eventLoop,
      long incarnation,
      ToIntFunction<LimitPartition> rankOfSelf,
      GatewayLog log) {
    this.self = self;
    this.store = store;
    this.clock = clock;
    this.eventLoop = eventLoop;
    this.rankOfSelf = rankOfSelf;
    this.log = log;
    this.incarnation = incarnation;
    for (int i = 0; i < LimitPartition.COUNT; i++) {
      LimitPartition id = new LimitPartition(i);
      partitions.put(id, new Partition(id));
    }
  }

  /**
   * Reads the current holders and takes back the leases that an earlier incarnation of this node
   * held.
   */
  void start() {
    refresh();
    eventLoop.schedule(RENEW_MILLIS, this::renew);
    eventLoop.schedule(FIRST_ACQUIRE_MILLIS, this::acquireOwnShare);
  }

  private void acquireOwnShare() {
    for (Partition partition : partitions.values()) {
      if (rankOfSelf.applyAsInt(partition.id) == 0) {
        requestLease(partition.id);
      }
    }
  }

  /** Returns whether this node holds a partition. */
  boolean holds(LimitPartition id) {
    Partition partition = partitions.get(id);
    return partition.tenure != null && eventLoop.nanoTime() - partition.validUntilNanos < 0;
  }

  /**
   * Returns the tenure under which this node holds a partition now; empty if it does not hold it.
   */
  Optional<Tenure> tenure(LimitPartition id) {
    return holds(id) ? Optional.of(partitions.get(id).tenure) : Optional.empty();
  }

  /** Returns the number of partitions that this node holds. */
  public int held() {
    return (int) partitions.keySet().stream().filter(this::holds).count();
  }

  /** Returns the other node that holds a partition, according to the last row that was received. */
  Optional<PeerAddress> holder(LimitPartition id) {
    LeaseRow row = partitions.get(id).row;
    if (row == null || row.expiresStoreMillis() == 0 || row.holder().equals(self)) {
      return Optional.empty();
    }
    return Optional.of(row.holder());
  }

  /**
   * Requests a partition that has no known holder or whose holder does not respond: reads the rows
   * and acquires the lease if it is free.
   */
  void requestLease(LimitPartition id) {
    Partition partition = partitions.get(id);
    if (holds(id) || partition.writing || partition.delayed) {
      return;
    }
    long now = eventLoop.nanoTime();
    boolean readRecently =
        partition.readRequested && now - partition.readRequestedNanos < REREAD_MILLIS * 1_000_000;
    if (readRecently && !isFree(partition.row)) {
      return;
    }
    partition.readRequested = true;
    partition.readRequestedNanos = now;
    partition.requested = true;
    refresh();
  }

  private void refresh() {
    long now = eventLoop.nanoTime();
    if (refreshing || refreshed && now - refreshedNanos < REFRESH_MILLIS * 1_000_000) {
      return;
    }
    readRows();
  }

  private void readRows() {
    refreshing = true;
    store.read(new RangeRead(TABLE, "", null, LimitPartition.COUNT * 2), this::onRows);
  }

  private void onRows(ReadOutcome outcome) {
    refreshing = false;
    refreshed = true;
    refreshedNanos = eventLoop.nanoTime();
    if (!(outcome instanceof ReadOutcome.Rows rows)) {
      return;
    }
    rows.rows().forEach(this::adopt);
    if (!stopped) {
      partitions.values().forEach(this::acquireIfFree);
    }
  }

  /** Applies a row unless this version of it or a newer one is known. */
  private void adopt(StoredRow stored) {
    if (stored.removed() || !LimitPartition.isPartitionKey(stored.address().key())) {
      return;
    }
    Partition partition = partitions.get(LimitPartition.ofKey(stored.address().key()));
    if (stored.version() <= partition.version) {
      return;
    }
    try {
      partition.row = LeaseRow.decode(stored.value());
      partition.version = stored.version();
    } catch (IllegalArgumentException e) {
      log.write(GatewayEvent.FAULT, "where", "lease", "key", stored.address().key(), "error", e);
    }
  }

  private void acquireIfFree(Partition partition) {
    boolean own = partition.row != null && partition.row.holder().equals(self);
    boolean delayOver = partition.delayOver;
    partition.delayOver = false;
    if (partition.writing || partition.delayed || holds(partition.id)) {
      return;
    }
    if (!(partition.requested || own || delayOver) || !isFree(partition.row)) {
      return;
    }
    partition.requested = false;
    int rank = Math.min(MAX_RANK, rankOfSelf.applyAsInt(partition.id));
    if (own || delayOver || rank == 0) {
      write(partition);
      return;
    }
    partition.delayed = true;
    eventLoop.schedule(rank * WAIT_MILLIS_PER_RANK, () -> onDelayOver(partition));
  }

  /**
   * Called after this node has waited for the nodes that rank before it. Reads the rows to
   * determine whether one of them has taken the lease.
   */
  private void onDelayOver(Partition partition) {
    partition.delayed = false;
    partition.delayOver = true;
    if (!refreshing) {
      readRows();
    }
  }

  private boolean isFree(LeaseRow row) {
    if (row == null || row.holder().equals(self) || row.expiresStoreMillis() == 0) {
      return true;
    }
    return clock.known()
        && clock.earliestStoreMillis(eventLoop.nanoTime()) > row.expiresStoreMillis();
  }

  /** Acquires or renews a lease. */
  private void write(Partition partition) {
    if (!clock.known() || partition.writing) {
      return;
    }
    long now = eventLoop.nanoTime();
    LeaseRow next = new LeaseRow(self, incarnation, clock.latestStoreMillis(now) + LEASE_MILLIS);
    long untilNanos = now + LEASE_MILLIS * 1_000_000;
    partition.writing = true;
    store.transact(
        Transaction.replace(address(partition.id), partition.version, next.encode()),
        outcome -> onWritten(partition, next, untilNanos, outcome));
  }

  private static RowAddress address(LimitPartition id) {
    return new RowAddress(TABLE, "", id.key());
  }

  private void onWritten(
      Partition partition, LeaseRow written, long untilNanos, TransactionOutcome outcome) {
    partition.writing = false;
    if (outcome instanceof TransactionOutcome.Applied applied) {
      onApplied(partition, written, untilNanos, applied.version());
    } else if (outcome instanceof TransactionOutcome.Conflict conflict) {
      conflict.rows().forEach(this::adopt);
      onConflict(partition);
    }
  }

  private void onApplied(Partition partition, LeaseRow written, long untilNanos, long version) {
    LeaseRow previous = partition.row;
    boolean continuous =
        partition.tenure != null && previous != null && previous.incarnation() == incarnation;
    partition.row = written;
    partition.version = version;
    partition.validUntilNanos = untilNanos;
    if (!continuous) {
      partition.tenure = new Tenure(++lastTenureNumber, previous == null);
      log.write(
          GatewayEvent.LIMIT_LEASE_TAKEN,
          "partition",
          partition.id.number(),
          "from",
          previous == null ? "nobody" : previous.holder());
    }
    if (stopped) {
      release(partition);
    }
  }

  private void onConflict(Partition partition) {
    boolean own = partition.row != null && partition.row.incarnation() == incarnation;
    if (own) {
      // An earlier write of this process was applied although its outcome was unknown.
      // The lease continues from there.
      write(partition);
    } else if (partition.tenure != null) {
      partition.tenure = null;
      log.write(
          GatewayEvent.LIMIT_LEASE_LOST,
          "partition",
          partition.id.number(),
          "to",
          partition.row == null ? "nobody" : partition.row.holder());
    }
  }

  private void renew() {
    if (!stopped) {
      renewAll();
      eventLoop.schedule(RENEW_MILLIS, this::renew);
    }
  }

  /**
   * Renews all leases of this node now; called at each renewal interval and when the store becomes
   * reachable again.
   */
  void renewAll() {
    for (Partition partition : partitions.values()) {
      if (partition.tenure != null && !partition.writing) {
        write(partition);
      }
    }
  }

  /** Releases all leases, for a planned stop. */
  void stop() {
    stopped = true;
    for (Partition partition : partitions.values()) {
      if (partition.tenure != null && !partition.writing) {
        release(partition);
      }
    }
  }

  private void release(Partition partition) {
    partition.tenure = null;
    LeaseRow released = new LeaseRow(self, incarnation, 0);
    store.transact(
        Transaction.replace(address(partition.id), partition.version, released.encode()),
        outcome -> {});
  }
}
