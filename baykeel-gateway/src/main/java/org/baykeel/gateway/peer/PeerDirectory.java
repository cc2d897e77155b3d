package org.baykeel.gateway.peer;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;
import org.baykeel.gateway.telemetry.DecisionLog;
import org.baykeel.gateway.telemetry.GatewayEvent;

/**
 * The nodes that datagrams go to. A node writes its address into the store when it starts, reads
 * the others' once, and announces itself to them; later starters announce themselves to it. Nothing
 * depends on the list being complete: what nodes tell each other only saves requests.
 */
public final class PeerDirectory {
  private static final String TABLE = "node";
  private static final int PAGE_ROWS = 500;

  /** The start of serving goes first. */
  private static final long JOIN_DELAY_MILLIS = 500;

  private static final long RETRY_MILLIS = 1_000;
  private static final int MAX_PEERS = 1_024;

  private final RowAddress ownRow;
  private final PeerAddress ownAddress;
  private final DurableStore store;
  private final EventLoop eventLoop;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final DecisionLog log;
  private final Set<PeerAddress> peers = new LinkedHashSet<>();
  private long ownRowVersion = Transaction.ABSENT;

  /**
   * Creates a directory that knows nobody yet.
   *
   * @param nodeName the name of this node, its key in the store
   * @param ownAddress where this node takes datagrams
   */
  public PeerDirectory(
      String nodeName,
      PeerAddress ownAddress,
      DurableStore store,
      EventLoop eventLoop,
      PeerTransport transport,
      PeerMessageCodec codec,
      DecisionLog log) {
    this.ownRow = new RowAddress(TABLE, "", nodeName);
    this.ownAddress = ownAddress;
    this.store = store;
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.codec = codec;
    this.log = log;
  }

  /** Makes this node known and learns of the others, as soon as the store answers. */
  public void join() {
    eventLoop.schedule(JOIN_DELAY_MILLIS, this::writeOwnRow);
  }

  private void writeOwnRow() {
    byte[] value = ownAddress.toString().getBytes(StandardCharsets.US_ASCII);
    Transaction put =
        new Transaction(List.of(), List.of(new Transaction.Put(ownRow, value)), List.of());
    store.transact(put, this::onOwnRow);
  }

  private void onOwnRow(TransactionOutcome outcome) {
    if (outcome instanceof TransactionOutcome.Applied applied) {
      ownRowVersion = applied.version();
      readPeers(null);
    } else {
      eventLoop.schedule(RETRY_MILLIS, this::writeOwnRow);
    }
  }

  private void readPeers(String fromKey) {
    store.read(new RangeRead(TABLE, "", fromKey, PAGE_ROWS), outcome -> onPeers(fromKey, outcome));
  }

  private void onPeers(String fromKey, ReadOutcome outcome) {
    if (!(outcome instanceof ReadOutcome.Rows page)) {
      eventLoop.schedule(RETRY_MILLIS, () -> readPeers(fromKey));
      return;
    }
    page.rows().forEach(this::adopt);
    if (page.more()) {
      readPeers(page.rows().get(page.rows().size() - 1).address().key() + '\0');
      return;
    }
    byte[] announcement = codec.encode(new PeerMessage.NodeAnnouncement());
    peers.forEach(peer -> transport.send(peer, announcement));
    log.write(GatewayEvent.PEERS_KNOWN, "peers", peers.size());
  }

  private void adopt(StoredRow row) {
    if (row.removed() || row.address().key().equals(ownRow.key())) {
      return;
    }
    try {
      add(PeerAddress.parse(new String(row.value(), StandardCharsets.US_ASCII)));
    } catch (IllegalArgumentException e) {
      log.write(GatewayEvent.FAULT, "where", "node row", "key", row.address().key(), "error", e);
    }
  }

  /**
   * Notes that a node has sent something.
   *
   * @param peer its address
   */
  public void heardFrom(PeerAddress peer) {
    add(peer);
  }

  private void add(PeerAddress peer) {
    if (!peer.equals(ownAddress) && peers.size() < MAX_PEERS) {
      peers.add(peer);
    }
  }

  /** Takes this node's row out of the store; a later start writes it again. */
  public void leave() {
    if (ownRowVersion == Transaction.ABSENT) {
      return;
    }
    // The condition keeps a late copy from removing the row of the next start.
    Transaction removal =
        new Transaction(
            List.of(new Transaction.Expectation(ownRow, ownRowVersion)),
            List.of(),
            List.of(ownRow));
    ownRowVersion = Transaction.ABSENT;
    store.transact(removal, outcome -> {});
  }

  /** The nodes known now, this one not among them. */
  public Collection<PeerAddress> peers() {
    return Collections.unmodifiableSet(peers);
  }
}
