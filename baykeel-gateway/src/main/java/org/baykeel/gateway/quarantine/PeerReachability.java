package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.peer.QueryIds;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * Finds out whether datagrams pass both ways between this node and its peers, by probes that they
 * reply to. A node is <i>in touch</i> while more than half of the probed nodes, itself included,
 * reply: of several groups that do not reach each other at most one is in touch. It is <i>fully in
 * touch</i> while all peers are probed and reply.
 *
 * <p>Silence alone does not show that a peer sent nothing, so a node that is not in touch must not
 * act as if there were no news.
 */
final class PeerReachability {
  /** All peers are probed if there are no more. */
  static final int MAX_PROBED = 10;

  /** Of more peers, so many are probed. */
  static final int SAMPLE = 5;

  /** One peer after the other is probed, so far apart. */
  static final long PROBE_MILLIS = 25;

  /**
   * The same if a sample is probed. Each peer of it is probed as often as each of all peers, and
   * the nodes of a large group spend half as much on each other.
   */
  static final long SAMPLE_PROBE_MILLIS = 50;

  /** A peer in the same region replies within this time. */
  private static final long REPLY_MILLIS = 21;

  /** A peer in another region replies within this time. */
  private static final long FAR_REPLY_MILLIS = 400;

  /**
   * The event loop reads what arrived until then within this time, even if it lagged: timers that
   * are due run before datagrams are read.
   */
  private static final long READ_MILLIS = 4;

  /** A peer that leaves so many probes in a row without a reply is unreachable. */
  private static final int MAX_MISSED = 2;

  /** A reply is no proof any more after this time beyond the time between two probes. */
  private static final long STALE_NANOS = 300_000_000L;

  /** Peers send the evidence that this node missed within this time after they are reached. */
  private static final long SETTLE_NANOS = 100_000_000L;

  /** A node that only lags reads the replies of its peers within this time. */
  private static final long LAG_NANOS = 300_000_000L;

  /** A node that runs has shown it by its row within this time. */
  static final long ABSENT_NANOS = 15_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PeerDirectory peers;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final RunNotifier notifier;
  private final EventLoop eventLoop;
  private final LongSupplier evidenceDigest;
  private final Listener listener;
  private final QueryIds probeIds;
  private final Map<PeerAddress, Contact> contacts = new LinkedHashMap<>();
  private List<Contact> contactsInOrder = List.of();
  private int knownPeers;
  private int next;
  private boolean started;
  private State state = State.STARTING;
  private long stateSinceNanos;

  /** Whether most of the probed peers are reached. */
  private enum State {
    /** This has not been found out since the start. */
    STARTING,
    IN_TOUCH,
    OUT_OF_TOUCH,
    /** They are reached again, but may not have sent yet what this node missed. */
    RETURNING
  }

  /** Receives changes of the reachability of peers. */
  interface Listener {
    /** Called when a peer that replied does so no more. */
    void peerLost(PeerAddress peer);

    /** Called when this node is not in touch any more. */
    void lostTouch();

    /**
     * Called when most peers are reached again.
     *
     * @param awayNanos for how long this node was not in touch
     */
    void regainedTouch(long awayNanos);

    /**
     * Called when a peer has sent its digest.
     *
     * @param returned whether the peer could not be reached before
     */
    void digestReceived(PeerAddress peer, long digest, boolean returned);
  }

  /** What is known of one probed peer. */
  private final class Contact {
    private final PeerAddress peer;
    private boolean answered;
    private boolean everReplied;
    private boolean everAnswered;
    private boolean absent;
    private int missed;
    private long probeId;
    private boolean awaitsReply;
    private long sentNanos;
    private long provenNanos;
    private long silentSinceNanos = eventLoop.nanoTime();

    Contact(PeerAddress peer) {
      this.peer = peer;
    }

    private void probe() {
      if (awaitsReply) {
        return;
      }
      awaitsReply = true;
      probeId = probeIds.next();
      sentNanos = eventLoop.nanoTime();
      transport.send(
          peer,
          codec.encode(new PeerMessage.ReachabilityProbe(probeId, evidenceDigest.getAsLong())));
      if (!everReplied) {
        // Nodes of earlier builds know no probes, but reply to this query.
        notifier.query(peer, EarlierLoss.NO_RUN);
      }
    }

    /** Whether the reply should have arrived some time ago. */
    private boolean overdue(long nowNanos) {
      long millis = peers.localityOf(peer).inRegion() ? REPLY_MILLIS : FAR_REPLY_MILLIS;
      return awaitsReply && nowNanos - sentNanos >= millis * NANOS_PER_MILLI;
    }

    private void conclude() {
      awaitsReply = false;
      missed++;
      if (missed == 1 && answered) {
        probeAll();
      } else if (missed >= MAX_MISSED && answered) {
        answered = false;
        silentSinceNanos = sentNanos;
        listener.peerLost(peer);
      }
      update();
    }

    /** Returns whether the peer was unreachable before. */
    private boolean replied() {
      boolean returned = !answered;
      awaitsReply = false;
      answered = true;
      everAnswered = true;
      absent = false;
      missed = 0;
      provenNanos = sentNanos;
      return returned;
    }

    private boolean isProven(long nowNanos) {
      long roundNanos = contacts.size() * probeMillis() * NANOS_PER_MILLI;
      return answered && nowNanos - provenNanos < roundNanos + STALE_NANOS;
    }
  }

  PeerReachability(
      PeerDirectory peers,
      PeerTransport transport,
      PeerMessageCodec codec,
      RunNotifier notifier,
      EventLoop eventLoop,
      LongSupplier evidenceDigest,
      Listener listener) {
    this.peers = peers;
    this.transport = transport;
    this.codec = codec;
    this.notifier = notifier;
    this.eventLoop = eventLoop;
    this.evidenceDigest = evidenceDigest;
    this.listener = listener;
    this.probeIds = new QueryIds(eventLoop);
    this.stateSinceNanos = eventLoop.nanoTime();
  }

  /** Starts to probe the peers that are known, and those that become known. */
  void start() {
    started = true;
    selectPeers();
    probeAll();
    eventLoop.schedule(probeMillis(), this::probeNext);
  }

  private long probeMillis() {
    return probesAll() ? PROBE_MILLIS : SAMPLE_PROBE_MILLIS;
  }

  private boolean probesAll() {
    return knownPeers <= MAX_PROBED;
  }

  /** Ends the probes without a reply and sends the next one, with one timer for all of it. */
  private void probeNext() {
    selectPeers();
    update();
    concludeOverdue();
    if (!contacts.isEmpty()) {
      next = (next + 1) % contacts.size();
      contactsInOrder.get(next).probe();
    }
    eventLoop.schedule(probeMillis(), this::probeNext);
  }

  private void probeAll() {
    List.copyOf(contactsInOrder).forEach(Contact::probe);
    eventLoop.schedule(REPLY_MILLIS, this::concludeOverdue);
  }

  /** Concludes the probes whose reply is overdue, once the event loop has read what arrived. */
  private void concludeOverdue() {
    long now = eventLoop.nanoTime();
    for (Contact contact : contactsInOrder) {
      if (contact.overdue(now)) {
        long id = contact.probeId;
        eventLoop.schedule(READ_MILLIS, () -> concludeUnanswered(contact, id));
      }
    }
  }

  private static void concludeUnanswered(Contact contact, long probeId) {
    if (contact.awaitsReply && contact.probeId == probeId) {
      contact.conclude();
    }
  }

  /** Selects the peers that are probed: a sample of many, another one at each node. */
  private void selectPeers() {
    if (peers.peers().size() == knownPeers) {
      return;
    }
    knownPeers = peers.peers().size();
    List<PeerAddress> ranked = new ArrayList<>(peers.peers());
    ranked.sort(Comparator.comparingInt(this::rank));
    List<PeerAddress> selected = probesAll() ? ranked : ranked.subList(0, SAMPLE);
    contacts.keySet().retainAll(selected);
    List<Contact> added = new ArrayList<>();
    for (PeerAddress peer : selected) {
      if (!contacts.containsKey(peer)) {
        added.add(new Contact(peer));
        contacts.put(peer, added.get(added.size() - 1));
      }
    }
    contactsInOrder = List.copyOf(contacts.values());
    added.forEach(Contact::probe);
  }

  private int rank(PeerAddress peer) {
    PeerAddress own = peers.ownAddress();
    return StableHash.of(own + " " + peer.host(), peer.port());
  }

  // Messages of peers.

  /** Replies to the probe of a peer. */
  void onProbe(PeerAddress sender, PeerMessage.ReachabilityProbe probe) {
    transport.send(
        sender,
        codec.encode(
            new PeerMessage.ReachabilityReply(probe.probeId(), evidenceDigest.getAsLong())));
    Contact contact = contacts.get(sender);
    if (contact != null && !contact.answered) {
      contact.probe();
    }
    listener.digestReceived(sender, probe.evidenceDigest(), false);
  }

  /** Handles the reply of a peer. */
  void onReply(PeerAddress sender, PeerMessage.ReachabilityReply reply) {
    Contact contact = contacts.get(sender);
    if (contact == null || contact.probeId != reply.probeId()) {
      return;
    }
    contact.everReplied = true;
    boolean returned = contact.replied();
    listener.digestReceived(sender, reply.evidenceDigest(), returned);
    onReached(returned);
  }

  /** Handles that a peer of an earlier build replied to a query. */
  void onQueryReply(PeerAddress sender) {
    Contact contact = contacts.get(sender);
    if (contact != null && !contact.everReplied) {
      onReached(contact.replied());
    }
  }

  private void onReached(boolean returned) {
    if (returned) {
      probeAll();
    }
    update();
  }

  /**
   * Records which nodes run, as the rows show that nodes write while they do not reach a peer. The
   * other ones that have not replied for a while count no longer.
   */
  void recordRunning(Collection<PeerAddress> running) {
    long now = eventLoop.nanoTime();
    for (Contact contact : contacts.values()) {
      boolean silent = !contact.answered && now - contact.silentSinceNanos >= ABSENT_NANOS;
      contact.absent = silent && !running.contains(contact.peer);
    }
  }

  // Reachability.

  private void update() {
    if (contacts.isEmpty()) {
      return;
    }
    long now = eventLoop.nanoTime();
    boolean most = reachesMost(now);
    if (!most) {
      if (state == State.IN_TOUCH || state == State.RETURNING) {
        boolean lost = state == State.IN_TOUCH;
        enter(State.OUT_OF_TOUCH, now);
        if (lost) {
          listener.lostTouch();
        }
      }
    } else if (state == State.STARTING) {
      enter(State.IN_TOUCH, now);
    } else if (state == State.OUT_OF_TOUCH) {
      long awayNanos = now - stateSinceNanos;
      enter(State.RETURNING, now);
      listener.regainedTouch(awayNanos);
    } else if (state == State.RETURNING && now - stateSinceNanos >= SETTLE_NANOS) {
      enter(State.IN_TOUCH, now);
    }
  }

  private void enter(State entered, long nowNanos) {
    state = entered;
    stateSinceNanos = nowNanos;
  }

  private boolean reachesMost(long nowNanos) {
    int proven = 0;
    int running = 0;
    for (Contact contact : contactsInOrder) {
      proven += contact.isProven(nowNanos) ? 1 : 0;
      running += contact.absent ? 0 : 1;
    }
    return 2 * (proven + 1) > running + 1;
  }

  /** Returns whether most of the probed peers reply, and have sent what this node missed. */
  boolean inTouch() {
    if (!started || contacts.isEmpty()) {
      return true;
    }
    update();
    return state == State.IN_TOUCH;
  }

  /** Returns whether this node is not in touch, but may be again soon. */
  boolean mayReturnSoon() {
    boolean justLost = eventLoop.nanoTime() - stateSinceNanos < LAG_NANOS;
    return !inTouch() && (state == State.RETURNING || justLost);
  }

  /** Returns whether all peers are probed and reply, but for those that do not run. */
  boolean fullyInTouch() {
    long now = eventLoop.nanoTime();
    return !started
        || inTouch()
            && contacts.size() == peers.peers().size()
            && contacts.values().stream().allMatch(one -> one.absent || one.isProven(now));
  }

  /** Returns whether notices of this node, or of others, may not arrive. */
  boolean missesNotices() {
    return !inTouch() || !unreachable().isEmpty();
  }

  /** Returns whether a peer is probed and does not reply. */
  boolean isUnreachable(PeerAddress peer) {
    Contact contact = contacts.get(peer);
    return contact != null && contact.everAnswered && !contact.answered;
  }

  /** Returns the probed peers that do not reply, but for those that do not run. */
  List<PeerAddress> unreachable() {
    return contacts.values().stream()
        .filter(contact -> !contact.answered && !contact.absent)
        .map(contact -> contact.peer)
        .toList();
  }

  /** Returns the number of peers that are probed. */
  int probed() {
    return contacts.size();
  }
}
