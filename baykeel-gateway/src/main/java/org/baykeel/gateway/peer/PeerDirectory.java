package org.baykeel.gateway.peer;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.topology.Locality;
import org.baykeel.gateway.topology.Topology;

/**
 * The nodes that datagrams go to. A node writes its address into the store when it starts, reads
 * the others' once, and announces itself to them; later starters announce themselves to it. Nothing
 * depends on the list being complete: what nodes tell each other only saves requests.
 *
 * <p>Each node also tells its zone, so that others can prefer the nodes of their own region. A node
 * whose zone is not known yet counts as one of another region where there are several.
 */
public final class PeerDirectory {
  private static final String TABLE = "node";
  private static final int PAGE_ROWS = 500;

  /** The start of serving goes first. */
  private static final long JOIN_DELAY_MILLIS = 500;

  private static final long RETRY_MILLIS = 1_000;
  private static final int MAX_PEERS = 1_024;

  /** Between a node's address and its zone in its row. */
  private static final char ZONE_SEPARATOR = ' ';

  private static final String UNKNOWN_ZONE = "";

  private final RowAddress ownRow;
  private final PeerAddress ownAddress;
  private final DurableStore store;
  private final EventLoop eventLoop;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final Topology topology;
  private final GatewayLog log;
  private final Map<PeerAddress, String> zoneByPeer = new LinkedHashMap<>();
  private final Set<PeerAddress> peersInRegion = new LinkedHashSet<>();
  private long ownRowVersion = Transaction.ABSENT;
  private boolean loaded;

  /**
   * Creates a directory that knows nobody yet.
   *
   * @param nodeName the name of this node, its key in the store
   * @param ownAddress where this node takes datagrams
   * @param topology where this node and the zones are
   */
  public PeerDirectory(
      String nodeName,
      PeerAddress ownAddress,
      DurableStore store,
      EventLoop eventLoop,
      PeerTransport transport,
      PeerMessageCodec codec,
      Topology topology,
      GatewayLog log) {
    this.ownRow = new RowAddress(TABLE, "", nodeName);
    this.ownAddress = ownAddress;
    this.store = store;
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.codec = codec;
    this.topology = topology;
    this.log = log;
  }

  /** Makes this node known and learns of the others, as soon as the store answers. */
  public void join() {
    eventLoop.schedule(JOIN_DELAY_MILLIS, this::writeOwnRow);
  }

  private void writeOwnRow() {
    String text = ownAddress.toString() + ZONE_SEPARATOR + topology.ownZone();
    byte[] value = text.getBytes(StandardCharsets.UTF_8);
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
    store.read(
        new RangeRead(TABLE, "", fromKey, PAGE_ROWS), outcome -> onPeerRows(fromKey, outcome));
  }

  private void onPeerRows(String fromKey, ReadOutcome outcome) {
    if (!(outcome instanceof ReadOutcome.Rows page)) {
      eventLoop.schedule(RETRY_MILLIS, () -> readPeers(fromKey));
      return;
    }
    page.rows().forEach(this::addFromRow);
    if (page.more()) {
      readPeers(page.rows().get(page.rows().size() - 1).address().key() + '\0');
      return;
    }
    loaded = true;
    byte[] announcement = codec.encode(new PeerMessage.NodeAnnouncement(topology.ownZone()));
    zoneByPeer.keySet().forEach(peer -> transport.send(peer, announcement));
    log.write(
        GatewayEvent.PEERS_KNOWN, "peers", zoneByPeer.size(), "in_region", peersInRegion.size());
  }

  private void addFromRow(StoredRow row) {
    if (row.removed() || row.address().key().equals(ownRow.key())) {
      return;
    }
    try {
      String text = new String(row.value(), StandardCharsets.UTF_8);
      int separator = text.indexOf(ZONE_SEPARATOR);
      String address = separator < 0 ? text : text.substring(0, separator);
      String zone = separator < 0 ? UNKNOWN_ZONE : text.substring(separator + 1);
      add(PeerAddress.parse(address), zone);
    } catch (IllegalArgumentException e) {
      log.write(GatewayEvent.FAULT, "where", "node row", "key", row.address().key(), "error", e);
    }
  }

  /**
   * Notes that a node has sent something.
   *
   * @param peer its address
   */
  public void onSender(PeerAddress peer) {
    if (!zoneByPeer.containsKey(peer)) {
      add(peer, UNKNOWN_ZONE);
    }
  }

  /**
   * Notes that a node has said where it is.
   *
   * @param peer its address
   * @param zone its zone; empty if it did not say
   */
  public void onAnnouncement(PeerAddress peer, String zone) {
    add(peer, zone);
  }

  private void add(PeerAddress peer, String zone) {
    if (peer.equals(ownAddress)
        || zoneByPeer.size() >= MAX_PEERS && !zoneByPeer.containsKey(peer)) {
      return;
    }
    if (zone.isEmpty() && zoneByPeer.containsKey(peer)) {
      return;
    }
    zoneByPeer.put(peer, zone);
    if (localityOf(peer).inRegion()) {
      peersInRegion.add(peer);
    } else {
      peersInRegion.remove(peer);
    }
  }

  /** Where a node is; another region if it is not known and there are several. */
  public Locality localityOf(PeerAddress peer) {
    String zone = zoneByPeer.getOrDefault(peer, UNKNOWN_ZONE);
    if (zone.isEmpty()) {
      return topology.severalRegions() ? Locality.OTHER_REGION : Locality.SAME_REGION;
    }
    return topology.localityOf(zone);
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
    return Collections.unmodifiableSet(zoneByPeer.keySet());
  }

  /** The nodes of this node's region that are known now, this one not among them. */
  public Collection<PeerAddress> peersInRegion() {
    return Collections.unmodifiableSet(peersInRegion);
  }

  /** The nodes known now; nothing until they have been read from the store once. */
  public Optional<Collection<PeerAddress>> peersIfLoaded() {
    return loaded ? Optional.of(peers()) : Optional.empty();
  }
}
