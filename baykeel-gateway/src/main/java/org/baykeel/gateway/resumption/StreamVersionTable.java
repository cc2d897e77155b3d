package org.baykeel.gateway.resumption;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.StreamVersionCodec;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StampedParts;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.telemetry.ErrorText;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Keeps the software versions of this node's streams in progress in a row of its own in the store,
 * while their services have several versions, so that they outlive all nodes. A row that is not
 * current leads to unknown versions, never to wrong ones.
 *
 * <p>The rows of all nodes are read when a resumption finds no version otherwise. A node reads them
 * before it first writes its row, and keeps what its earlier incarnation wrote.
 */
final class StreamVersionTable {
  private static final String TABLE = "stream-version";

  /** A partition of its own, since the store limits the writes to each. */
  private static final String PARTITION = "stream-version";

  private static final int PAGE_ROWS = 500;

  /** Leaves room for the header in a row of 64 KiB. */
  private static final int MAX_ROW_BYTES = 60_000;

  /** The pause between two writes, so that all nodes write a hundred rows per second together. */
  private static final long PAUSE_MILLIS_OF_NODE = 10;

  private static final long MIN_PAUSE_MILLIS = 50;

  /** Streams of an earlier incarnation are resumed within this time, if at all. */
  private static final long EARLIER_MILLIS = 60_000;

  /** A read is shared by all resumptions that come within this time after it. */
  private static final long READ_VALID_NANOS = 500_000_000L;

  private final RowAddress ownRow;
  private final DurableStore store;
  private final PeerMessageCodec codec;
  private final EventLoop eventLoop;
  private final IntSupplier peerCount;
  private final Supplier<List<PeerMessage.StreamVersion>> inProgress;
  private final Listener listener;
  private final GatewayLog log;
  private final Set<PeerMessage.StreamVersion> ofEarlierIncarnation = new LinkedHashSet<>();
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean loaded;
  private long loadedNanos;
  private boolean reading;
  private boolean writePending;

  /** Receives the streams in the rows of all nodes. */
  @FunctionalInterface
  interface Listener {
    void streamRead(PeerMessage.StreamVersion stream);
  }

  /**
   * Creates a table that has read nothing.
   *
   * @param nodeName the name of this node, which is the key of its row
   * @param peerCount the number of other nodes
   * @param inProgress the streams that this node's row should have
   */
  StreamVersionTable(
      String nodeName,
      DurableStore store,
      PeerMessageCodec codec,
      EventLoop eventLoop,
      IntSupplier peerCount,
      Supplier<List<PeerMessage.StreamVersion>> inProgress,
      Listener listener,
      GatewayLog log) {
    this.ownRow = new RowAddress(TABLE, PARTITION, nodeName);
    this.store = store;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.peerCount = peerCount;
    this.inProgress = inProgress;
    this.listener = listener;
    this.log = log;
  }

  /** Writes the row soon, since there are further streams. */
  void changed() {
    if (!writePending) {
      writePending = true;
      eventLoop.schedule(pauseMillis(), this::write);
    }
  }

  private long pauseMillis() {
    return Math.max(MIN_PAUSE_MILLIS, peerCount.getAsInt() * PAUSE_MILLIS_OF_NODE);
  }

  private void write() {
    if (!loaded) {
      read(this::writeIfLoaded);
      return;
    }
    writePending = false;
    Transaction transaction =
        new Transaction(List.of(), List.of(new Transaction.Put(ownRow, encode())), List.of());
    // A write that fails is not repeated: the next stream writes the row anew.
    store.transact(transaction, outcome -> {});
  }

  private void writeIfLoaded() {
    if (loaded) {
      write();
    } else {
      writePending = false;
    }
  }

  private byte[] encode() {
    Set<PeerMessage.StreamVersion> streams = new LinkedHashSet<>(inProgress.get());
    streams.addAll(ofEarlierIncarnation);
    List<byte[]> parts = new ArrayList<>();
    int bytes = 0;
    for (PeerMessage.StreamVersionNotice notice : StreamVersionCodec.split(List.copyOf(streams))) {
      byte[] part = codec.encode(notice);
      bytes += Short.BYTES + part.length;
      if (bytes > MAX_ROW_BYTES) {
        break;
      }
      parts.add(part);
    }
    return new StampedParts(0, parts).encode();
  }

  /** Reads the rows of all nodes, unless they were read just now, and then runs a callback. */
  void read(Runnable callback) {
    boolean recent = loaded && eventLoop.nanoTime() - loadedNanos < READ_VALID_NANOS;
    if (recent && !reading) {
      callback.run();
      return;
    }
    waiting.add(callback);
    if (!reading) {
      reading = true;
      readPage(null);
    }
  }

  private void readPage(String fromKey) {
    store.read(new RangeRead(TABLE, PARTITION, fromKey, PAGE_ROWS), outcome -> onRead(outcome));
  }

  private void onRead(ReadOutcome outcome) {
    if (!(outcome instanceof ReadOutcome.Rows page)) {
      endRead();
      return;
    }
    page.rows().stream().filter(row -> !row.removed()).forEach(this::adopt);
    if (page.more()) {
      readPage(page.rows().get(page.rows().size() - 1).address().key() + '\0');
    } else {
      if (!loaded) {
        eventLoop.schedule(EARLIER_MILLIS, ofEarlierIncarnation::clear);
      }
      loaded = true;
      loadedNanos = eventLoop.nanoTime();
      endRead();
    }
  }

  private void endRead() {
    reading = false;
    List<Runnable> callbacks = List.copyOf(waiting);
    waiting.clear();
    callbacks.forEach(Runnable::run);
  }

  private void adopt(StoredRow row) {
    boolean own = row.address().key().equals(ownRow.key());
    try {
      for (byte[] part : StampedParts.decode(row.value()).parts()) {
        codec
            .decode(part)
            .filter(PeerMessage.StreamVersionNotice.class::isInstance)
            .map(PeerMessage.StreamVersionNotice.class::cast)
            .ifPresent(notice -> adopt(notice, own));
      }
    } catch (RuntimeException e) {
      log.write(
          GatewayEvent.FAULT,
          "where",
          "stream row",
          "key",
          row.address().key(),
          "error",
          ErrorText.of(e));
    }
  }

  private void adopt(PeerMessage.StreamVersionNotice notice, boolean own) {
    if (own && !loaded) {
      ofEarlierIncarnation.addAll(notice.streams());
    }
    notice.streams().forEach(listener::streamRead);
  }
}
