package org.baykeel.gateway.peer;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;
import org.baykeel.gateway.telemetry.ErrorText;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.topology.Locality;
import org.baykeel.gateway.topology.Topology;

/**
 * The peers to which this node sends datagrams. On start a node reads the addresses of the other
 * nodes and announces itself to them; then it writes its own address to the store and reads and
 * announces again, so that of two nodes that start at the same time at least one finds the other.
 * Nodes that start later announce themselves to it. A peer that still knows this node from before
 * its start is announced to with its first message, whether or not the store responds.
 *
 * <p>Each node also publishes its zone, so that others can prefer the peers in their own region. If
 * there are several regions, a peer whose zone is not known yet counts as one of another region.
 */
public final class PeerDirectory {
  private static final String TABLE = "node";
  private static final int PAGE_ROWS = 500;

  /** Delay before the row is written, so that joining does not slow the start of serving. */
  private static final long JOIN_DELAY_MILLIS = 500;

  private static final long RETRY_MILLIS = 1_000;

  /** Peers answer an announcement within this time. */
  private static final long ANSWER_NANOS = 30_000_000L;

  private static final int MAX_PEERS = 1_024;

  /** Separates the address and the zone in a node's row. */
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
  private final Map<PeerAddress, Long> heardNanos = new HashMap<>();
  private final Map<String, PeerAddress> addressByName = new HashMap<>();
  private long ownRowVersion = Transaction.ABSENT;
  private boolean joined;
  private boolean announced;
  private long announcedNanos;
  private boolean loaded;
  private boolean left;
  private boolean ownRowLeftBehind;
  private Runnable readListener = () -> {};

  /**
   * Creates an empty directory.
   *
   * @param nodeName the name of this node, which is the key of its row in the store
   * @param ownAddress the address at which this node receives datagrams
   * @param topology the regions of the zones, and the zone of this node
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

  /**
   * Publishes this node and loads the peers from the store, with retries until the store responds.
   */
  public void join() {
    joined = true;
    readPeers(null, this::announce);
    eventLoop.schedule(JOIN_DELAY_MILLIS, this::writeOwnRow);
  }

  private void writeOwnRow() {
    if (left) {
      return;
    }
    String text = ownAddress.toString() + ZONE_SEPARATOR + topology.ownZone();
    byte[] value = text.getBytes(StandardCharsets.UTF_8);
    Transaction put =
        new Transaction(List.of(), List.of(new Transaction.Put(ownRow, value)), List.of());
    store.transact(put, this::onOwnRow);
  }

  private void onOwnRow(TransactionOutcome outcome) {
    if (outcome instanceof TransactionOutcome.Applied applied) {
      ownRowVersion = applied.version();
      if (left) {
        removeOwnRow();
      } else {
        readPeers(null, this::onLoaded);
      }
    } else {
      eventLoop.schedule(RETRY_MILLIS, this::writeOwnRow);
    }
  }

  private void readPeers(String fromKey, Runnable read) {
    store.read(
        new RangeRead(TABLE, "", fromKey, PAGE_ROWS),
        outcome -> onPeerRows(fromKey, outcome, read));
  }

  private void onPeerRows(String fromKey, ReadOutcome outcome, Runnable read) {
    if (!(outcome instanceof ReadOutcome.Rows page)) {
      eventLoop.schedule(RETRY_MILLIS, () -> readPeers(fromKey, read));
      return;
    }
    page.rows().forEach(this::addFromRow);
    if (page.more()) {
      readPeers(page.rows().get(page.rows().size() - 1).address().key() + '\0', read);
    } else {
      read.run();
    }
  }

  private void announce() {
    readListener.run();
    recordAnnouncement();
    byte[] announcement = announcement();
    zoneByPeer.keySet().forEach(peer -> transport.send(peer, announcement));
  }

  private void recordAnnouncement() {
    if (!announced) {
      announced = true;
      announcedNanos = eventLoop.nanoTime();
    }
  }

  private byte[] announcement() {
    return codec.encode(new PeerMessage.NodeAnnouncement(topology.ownZone()));
  }

  private void onLoaded() {
    loaded = true;
    announce();
    log.write(
        GatewayEvent.PEERS_KNOWN, "peers", zoneByPeer.size(), "in_region", peersInRegion.size());
  }

  private void addFromRow(StoredRow row) {
    if (row.removed() || row.address().key().equals(ownRow.key())) {
      ownRowLeftBehind |= !row.removed() && ownRowVersion == Transaction.ABSENT;
      return;
    }
    try {
      String text = new String(row.value(), StandardCharsets.UTF_8);
      int separator = text.indexOf(ZONE_SEPARATOR);
      String address = separator < 0 ? text : text.substring(0, separator);
      String zone = separator < 0 ? UNKNOWN_ZONE : text.substring(separator + 1);
      PeerAddress peer = PeerAddress.parse(address);
      add(peer, zone);
      if (addressByName.size() < MAX_PEERS) {
        addressByName.put(row.address().key(), peer);
      }
    } catch (RuntimeException e) {
      log.write(
          GatewayEvent.FAULT,
          "where",
          "node row",
          "key",
          row.address().key(),
          "error",
          ErrorText.of(e));
    }
  }

  /**
   * Adds the sender of a message with an unknown zone, unless the sender is already known. It knows
   * this node, possibly from before its start, and is told that it has started.
   *
   * @param peer the address of the sender
   */
  public void onSender(PeerAddress peer) {
    recordHeard(peer);
    if (!zoneByPeer.containsKey(peer)) {
      add(peer, UNKNOWN_ZONE);
      recordAnnouncement();
      transport.send(peer, announcement());
    }
  }

  /**
   * Returns whether this node has just started, so that peers have not told it yet what they know:
   * it knows none of them, or has only just announced itself.
   */
  public boolean awaitsAnswers() {
    if (!joined || loaded && zoneByPeer.isEmpty()) {
      return false;
    }
    return !announced || eventLoop.nanoTime() - announcedNanos < ANSWER_NANOS;
  }

  /**
   * Adds the sender of an announcement, or updates its zone.
   *
   * @param peer the address of the sender
   * @param zone the announced zone; empty if the announcement has none
   */
  public void onAnnouncement(PeerAddress peer, String zone) {
    recordHeard(peer);
    add(peer, zone);
  }

  private void recordHeard(PeerAddress peer) {
    if (heardNanos.size() < MAX_PEERS || heardNanos.containsKey(peer)) {
      heardNanos.put(peer, eventLoop.nanoTime());
    }
  }

  /** Returns when a peer last sent a message, by the event loop's clock; empty if it never did. */
  public OptionalLong heardNanos(PeerAddress peer) {
    Long heard = heardNanos.get(peer);
    return heard == null ? OptionalLong.empty() : OptionalLong.of(heard);
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

  /**
   * Returns the locality of a peer; if its zone is unknown and there are several regions, another
   * region.
   */
  public Locality localityOf(PeerAddress peer) {
    String zone = zoneByPeer.getOrDefault(peer, UNKNOWN_ZONE);
    if (zone.isEmpty()) {
      return topology.severalRegions() ? Locality.OTHER_REGION : Locality.SAME_REGION;
    }
    return topology.localityOf(zone);
  }

  /**
   * Removes this node's row from the store; the next start writes it again. A row that is being
   * written is removed afterwards. Idempotent.
   */
  public void leave() {
    left = true;
    if (ownRowVersion != Transaction.ABSENT) {
      removeOwnRow();
    }
  }

  private void removeOwnRow() {
    // The expected version keeps a delayed copy of this removal from deleting the row that the
    // next start writes.
    Transaction removal =
        new Transaction(
            List.of(new Transaction.Expectation(ownRow, ownRowVersion)),
            List.of(),
            List.of(ownRow));
    ownRowVersion = Transaction.ABSENT;
    store.transact(removal, outcome -> {});
  }

  /** Sets a listener that runs whenever the addresses of all peers have been read. */
  public void onRead(Runnable listener) {
    readListener = listener;
  }

  /** Returns whether the earlier incarnation of this node ended without leaving, as when killed. */
  public boolean ownRowLeftBehind() {
    return ownRowLeftBehind;
  }

  /** Returns the address of the node with a name, or empty if its row has not been read. */
  public Optional<PeerAddress> addressOf(String nodeName) {
    return Optional.ofNullable(addressByName.get(nodeName));
  }

  /** Returns the address at which this node receives datagrams. */
  public PeerAddress ownAddress() {
    return ownAddress;
  }

  /** Returns the zone of this node or of a peer; empty if it is not known. */
  public String zoneOf(PeerAddress node) {
    return node.equals(ownAddress)
        ? topology.ownZone()
        : zoneByPeer.getOrDefault(node, UNKNOWN_ZONE);
  }

  /** Returns the known peers. */
  public Collection<PeerAddress> peers() {
    return Collections.unmodifiableSet(zoneByPeer.keySet());
  }

  /** Returns the known peers in this node's region. */
  public Collection<PeerAddress> peersInRegion() {
    return Collections.unmodifiableSet(peersInRegion);
  }

  /** Returns the known peers, or empty until they have been loaded from the store. */
  public Optional<Collection<PeerAddress>> peersIfLoaded() {
    return loaded ? Optional.of(peers()) : Optional.empty();
  }
}
