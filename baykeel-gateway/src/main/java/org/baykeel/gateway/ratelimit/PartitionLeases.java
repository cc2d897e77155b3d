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
 * Which node holds the lease of each partition; takes, renews and gives back leases of this node.
 *
 * <p>Invariant: at any moment at most one life of one process believes that it holds a partition. A
 * lease is written under the condition that the row is the one that was read, with an expiry that
 * is not before the holder's own, and is taken from another holder only once the store's clock has
 * certainly passed it. A process at the holder's own address is its successor: the holder is dead.
 */
public final class PartitionLeases {
  static final String TABLE = "limit";

  /**
   * How long a lease lasts. Longer, and tenants of a holder that died wait longer; shorter, and an
   * outage of the store stops tenants that might still be served, whose keys count for about as
   * long.
   */
  static final long LEASE_MILLIS = 4_000;

  /**
   * Renewals are more frequent than the safety of a lease asks for: what is left of the leases when
   * the store falls silent is how long tenants with limits are served in the outage.
   */
  private static final long RENEW_MILLIS = 600;

  /** Between two reads of the rows while some partition is free. */
  private static final long REFRESH_MILLIS = 60;

  /** Between two reads for a partition whose lease runs: its holder may have given it back. */
  private static final long REREAD_MILLIS = 300;

  /**
   * How much longer each node waits than the one before it in the order of a free partition: a read
   * and a write of the store, so that the later ones see what the earlier did.
   */
  private static final long WAIT_MILLIS_PER_RANK = 25;

  private static final int MAX_RANK = 12;

  /** After a start, when the other nodes are known; free partitions are then spread evenly. */
  private static final long FIRST_ACQUIRE_MILLIS = 2_500;

  private final PeerAddress self;
  private final long incarnation;
  private final DurableStore store;
  private final StoreClock clock;
  private final EventLoop eventLoop;
  private final ToIntFunction<LimitPartition> rank;
  private final GatewayLog log;
  private final Map<LimitPartition, Partition> partitions = new LinkedHashMap<>();
  private boolean refreshing;
  private boolean refreshed;
  private boolean stopped;
  private long refreshedNanos;
  private long lastTenureNumber;

  /**
   * A time without a gap for which this node holds a partition.
   *
   * @param number counts the tenures of this life of the process
   * @param first whether nobody ever held the partition before
   */
  record Tenure(long number, boolean first) {}

  /** What is known of one partition. */
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
   * Creates leases of which nothing is known.
   *
   * @param self where the other nodes reach this one
   * @param clock what the store's clock shows
   * @param incarnation a random number that identifies this life of the process
   * @param rank this node's place in the order in which nodes take a free partition, from 0
   */
  public PartitionLeases(
      PeerAddress self,
      DurableStore store,
      StoreClock clock,
      EventLoop eventLoop,
      long incarnation,
      ToIntFunction<LimitPartition> rank,
      GatewayLog log) {
    this.self = self;
    this.store = store;
    this.clock = clock;
    this.eventLoop = eventLoop;
    this.rank = rank;
    this.log = log;
    this.incarnation = incarnation;
    for (int i = 0; i < LimitPartition.COUNT; i++) {
      LimitPartition id = new LimitPartition(i);
      partitions.put(id, new Partition(id));
    }
  }

  /** Learns who holds what and takes back what an earlier life of this node held. */
  void start() {
    refresh();
    eventLoop.schedule(RENEW_MILLIS, this::renew);
    eventLoop.schedule(FIRST_ACQUIRE_MILLIS, this::acquireOwnShare);
  }

  private void acquireOwnShare() {
    for (Partition partition : partitions.values()) {
      if (rank.applyAsInt(partition.id) == 0) {
        requestLease(partition.id);
      }
    }
  }

  /** Whether this node holds a partition. */
  boolean holds(LimitPartition id) {
    Partition partition = partitions.get(id);
    return partition.tenure != null && eventLoop.nanoTime() - partition.validUntilNanos < 0;
  }

  /** The tenure under which this node holds a partition now; nothing if it doesn't. */
  Optional<Tenure> tenure(LimitPartition id) {
    return holds(id) ? Optional.of(partitions.get(id).tenure) : Optional.empty();
  }

  /** How many partitions this node holds. */
  public int held() {
    return (int) partitions.keySet().stream().filter(this::holds).count();
  }

  /** The other node that holds a partition, as far as is known. */
  Optional<PeerAddress> holder(LimitPartition id) {
    LeaseRow row = partitions.get(id).row;
    if (row == null || row.expiresStoreMillis() == 0 || row.holder().equals(self)) {
      return Optional.empty();
    }
    return Optional.of(row.holder());
  }

  /** Nobody is known to hold a partition, or its holder is silent: looks, and takes it if free. */
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

  /** Adopts a row unless a newer one is known. */
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
    int position = Math.min(MAX_RANK, rank.applyAsInt(partition.id));
    if (own || delayOver || position == 0) {
      write(partition);
      return;
    }
    partition.delayed = true;
    eventLoop.schedule(position * WAIT_MILLIS_PER_RANK, () -> onDelayOver(partition));
  }

  /** The nodes before this one had their time; whether they used it, the rows tell. */
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

  /** Takes or renews a lease. */
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
      onAcquired(partition, written, untilNanos, applied.version());
    } else if (outcome instanceof TransactionOutcome.Conflict conflict) {
      conflict.rows().forEach(this::adopt);
      onConflict(partition);
    }
  }

  private void onAcquired(Partition partition, LeaseRow written, long untilNanos, long version) {
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
      // An earlier try of this process was done after all; the lease goes on from there.
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

  /** Renews this node's leases now, since the store has just come back. */
  void renewAll() {
    for (Partition partition : partitions.values()) {
      if (partition.tenure != null && !partition.writing) {
        write(partition);
      }
    }
  }

  /** Gives all leases back, for a planned stop. */
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
