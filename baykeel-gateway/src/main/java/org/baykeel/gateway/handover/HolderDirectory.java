package org.baykeel.gateway.handover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerMessageListener;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.peer.QueryIds;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * Finds the node that served a program last. Each program has a registrar among the nodes of a
 * region, chosen by rendezvous hashing, so that no turn requires a query to another region. A node
 * that takes a program over notifies the registrar, and a node that needs the program's state
 * queries it. This is soft state: a missing or wrong reply costs a call to the store and nothing
 * more.
 */
public final class HolderDirectory implements PeerMessageListener {
  /**
   * The most programs for which this node is registrar; the least recently used entries are
   * evicted.
   */
  private static final int MAX_HOLDERS = 8_192;

  /**
   * The longest identifier that fits into a datagram; programs with longer ones are not handed
   * over.
   */
  private static final int MAX_ID_LENGTH = 128;

  /**
   * The time limit of a query, to which the measured round trip is added; the store is queried
   * after it. It allows for a few round trips within a region and some processing on a slow node.
   */
  private static final long QUERY_TIMEOUT_MILLIS = 25;

  /** How long a registrar is not queried after a missing reply. */
  private static final long UNRESPONSIVE_NANOS = 5_000_000_000L;

  private final PeerAddress ownAddress;
  private final PeerDirectory peers;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final EventLoop eventLoop;
  private final PeerLatency peerLatency;
  private final Map<ProgramId, PeerAddress> holders =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ProgramId, PeerAddress> eldest) {
          return size() > MAX_HOLDERS;
        }
      };
  private final Map<PeerAddress, Long> unresponsiveUntilNanos = new HashMap<>();
  private final Map<Long, Query> queries = new HashMap<>();
  private final Map<ProgramId, Query> queriesByProgram = new HashMap<>();
  private final QueryIds queryIds;

  /** A query to a registrar and all callbacks that wait for its reply. */
  private record Query(
      long id,
      ProgramId program,
      PeerAddress registrar,
      List<Consumer<Optional<PeerAddress>>> callbacks) {}

  /**
   * Creates a directory.
   *
   * @param ownAddress the address at which other nodes reach this one
   * @param peerLatency the round trips to the registrars
   */
  public HolderDirectory(
      PeerAddress ownAddress,
      PeerDirectory peers,
      PeerTransport transport,
      PeerMessageCodec codec,
      EventLoop eventLoop,
      PeerLatency peerLatency) {
    this.ownAddress = ownAddress;
    this.peers = peers;
    this.transport = transport;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.peerLatency = peerLatency;
    this.queryIds = new QueryIds(eventLoop);
  }

  /** Notifies the program's registrar that this node serves the program now. */
  public void announceHolder(ProgramId program) {
    if (!fits(program)) {
      return;
    }
    PeerAddress registrar = registrar(program);
    if (registrar.equals(ownAddress)) {
      holders.put(program, ownAddress);
    } else {
      transport.send(registrar, codec.encode(new PeerMessage.HolderAnnouncement(program)));
    }
  }

  /**
   * Finds the other node that served a program last.
   *
   * @param answer receives its address exactly once; empty if none is known in time
   */
  public void locate(ProgramId program, Consumer<Optional<PeerAddress>> answer) {
    if (!fits(program)) {
      answer.accept(Optional.empty());
      return;
    }
    PeerAddress registrar = registrar(program);
    if (registrar.equals(ownAddress)) {
      answer.accept(unlessOwn(holders.get(program)));
      return;
    }
    if (isUnresponsive(registrar)) {
      answer.accept(Optional.empty());
      return;
    }
    Query pending = queriesByProgram.get(program);
    if (pending != null) {
      pending.callbacks().add(answer);
      return;
    }
    Query query = new Query(queryIds.next(), program, registrar, new ArrayList<>(List.of(answer)));
    queries.put(query.id(), query);
    queriesByProgram.put(program, query);
    transport.send(registrar, codec.encode(new PeerMessage.HolderQuery(query.id(), program)));
    long timeoutMillis = QUERY_TIMEOUT_MILLIS + peerLatency.roundTripMillis(registrar);
    eventLoop.scheduleTimeLimit(timeoutMillis, () -> onTimeout(query.id(), registrar));
  }

  private static boolean fits(ProgramId program) {
    return !program.value().isEmpty() && program.value().length() <= MAX_ID_LENGTH;
  }

  private Optional<PeerAddress> unlessOwn(PeerAddress holder) {
    return Optional.ofNullable(holder).filter(address -> !address.equals(ownAddress));
  }

  private boolean isUnresponsive(PeerAddress registrar) {
    Long until = unresponsiveUntilNanos.get(registrar);
    return until != null && eventLoop.nanoTime() - until < 0;
  }

  private void onTimeout(long queryId, PeerAddress registrar) {
    if (queries.containsKey(queryId)) {
      unresponsiveUntilNanos.put(registrar, eventLoop.nanoTime() + UNRESPONSIVE_NANOS);
      complete(queryId, Optional.empty());
    }
  }

  private void complete(long queryId, Optional<PeerAddress> holder) {
    Query query = queries.remove(queryId);
    if (query != null) {
      queriesByProgram.remove(query.program());
      query.callbacks().forEach(callback -> callback.accept(holder));
    }
  }

  @Override
  public void onMessage(PeerAddress sender, PeerMessage message) {
    if (message instanceof PeerMessage.HolderAnnouncement announcement) {
      holders.put(announcement.program(), sender);
    } else if (message instanceof PeerMessage.HolderQuery query) {
      Optional<PeerAddress> holder =
          Optional.ofNullable(holders.get(query.program()))
              .filter(address -> !address.equals(sender));
      transport.send(sender, codec.encode(new PeerMessage.HolderReply(query.queryId(), holder)));
    } else if (message instanceof PeerMessage.HolderReply reply) {
      unresponsiveUntilNanos.remove(sender);
      Query query = queries.get(reply.queryId());
      if (query != null && query.registrar().equals(sender)) {
        complete(query.id(), reply.holder().flatMap(this::unlessOwn));
      }
    }
  }

  /** Returns the node with the highest rendezvous-hash rank for the program. */
  private PeerAddress registrar(ProgramId program) {
    PeerAddress best = ownAddress;
    int highest = rank(ownAddress, program);
    for (PeerAddress peer : peers.peersInRegion()) {
      int rank = rank(peer, program);
      if (rank > highest) {
        best = peer;
        highest = rank;
      }
    }
    return best;
  }

  private static int rank(PeerAddress node, ProgramId program) {
    return StableHash.of(node.toString(), program.value());
  }
}
