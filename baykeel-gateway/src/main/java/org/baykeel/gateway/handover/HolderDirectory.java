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
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * Which node served a program last. Each program has a registrar among the nodes of a region, found
 * by rendezvous hashing, so that no turn asks across regions; a node that takes a program over
 * tells it, and a node that needs the program's state asks it. Soft state: an answer that is
 * missing or wrong costs a call to the store, no more.
 */
public final class HolderDirectory implements PeerMessageListener {
  /** Programs for which this node is registrar; those unused longest are forgotten first. */
  private static final int MAX_HOLDERS = 8_192;

  /** Longer identifiers don't fit a datagram; their programs are not handed over. */
  private static final int MAX_ID_LENGTH = 128;

  /**
   * A few ways within a region and a little work at a slow node; after it the store is asked. What
   * the way itself takes, as measured, comes on top.
   */
  private static final long QUERY_TIMEOUT_MILLIS = 25;

  /** How long a registrar that did not answer is not asked. */
  private static final long UNRESPONSIVE_NANOS = 5_000_000_000L;

  private final PeerAddress ownAddress;
  private final PeerDirectory peers;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final EventLoop eventLoop;
  private final PeerLatency distance;
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
  private long lastQueryId;

  /** A question to a registrar, and all who wait for its answer. */
  private record Query(
      long id, ProgramId program, List<Consumer<Optional<PeerAddress>>> callbacks) {}

  /**
   * Creates a directory.
   *
   * @param ownAddress where this node is reached by the others
   * @param distance how far the registrars are
   */
  public HolderDirectory(
      PeerAddress ownAddress,
      PeerDirectory peers,
      PeerTransport transport,
      PeerMessageCodec codec,
      EventLoop eventLoop,
      PeerLatency distance) {
    this.ownAddress = ownAddress;
    this.peers = peers;
    this.transport = transport;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.distance = distance;
  }

  /** Tells the program's registrar that this node serves it now. */
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
   * @param answer takes its address, exactly once; nothing if none is known in time
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
    Query query = new Query(++lastQueryId, program, new ArrayList<>(List.of(answer)));
    queries.put(query.id(), query);
    queriesByProgram.put(program, query);
    transport.send(registrar, codec.encode(new PeerMessage.HolderQuery(query.id(), program)));
    long timeoutMillis = QUERY_TIMEOUT_MILLIS + distance.roundTripMillis(registrar);
    eventLoop.schedule(timeoutMillis, () -> onTimeout(query.id(), registrar));
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
      complete(reply.queryId(), reply.holder().flatMap(this::unlessOwn));
    }
  }

  /** Rendezvous hashing: the node with the highest rank for the program. */
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
