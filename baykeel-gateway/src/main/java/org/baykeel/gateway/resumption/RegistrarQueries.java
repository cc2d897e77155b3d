package org.baykeel.gateway.resumption;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.peer.QueryIds;
import org.baykeel.gateway.peer.StreamVersionCodec;
import org.baykeel.gateway.runtime.EventLoop;

/** Queries the registrars of streams. */
final class RegistrarQueries {
  /** The time limit of a query, to which the longest measured round trip is added. */
  static final long TIMEOUT_MILLIS = 100;

  /** The most peers of which each is queried. */
  private static final int MAX_QUERIED = 64;

  /** The request of a query that is not about a certain stream; no stream has it. */
  private static final String NO_STREAM = "";

  private final StreamRegistrars registrars;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final PeerLatency latency;
  private final EventLoop eventLoop;
  private final Map<Long, Query> queries = new HashMap<>();
  private final QueryIds queryIds;

  /**
   * The replies of a stream's registrars, or of all peers.
   *
   * @param recorded the version that one of them has recorded for the stream
   * @param onlyVersions the versions that they know as the only ones of the service, proven or not
   * @param proven whether the store confirmed that to one of them
   * @param withoutEvidence whether one of them does not know which versions the service had, or
   *     knows several
   * @param severalVersions whether one of them knows several versions
   * @param complete whether all of them replied
   */
  record Answers(
      Optional<SoftwareVersion> recorded,
      Set<SoftwareVersion> onlyVersions,
      boolean proven,
      boolean withoutEvidence,
      boolean severalVersions,
      boolean complete) {
    static final Answers NONE = new Answers(Optional.empty(), Set.of(), false, false, false, false);
  }

  /** A query that waits for replies. */
  private static final class Query {
    private final Consumer<Answers> callback;
    private final Set<PeerAddress> unanswered;
    private final Set<SoftwareVersion> onlyVersions = new HashSet<>();
    private boolean proven;
    private boolean withoutEvidence;
    private boolean severalVersions;

    Query(Consumer<Answers> callback, Set<PeerAddress> unanswered) {
      this.callback = callback;
      this.unanswered = unanswered;
    }

    Answers answers(Optional<SoftwareVersion> recorded) {
      return new Answers(
          recorded, onlyVersions, proven, withoutEvidence, severalVersions, unanswered.isEmpty());
    }
  }

  RegistrarQueries(
      StreamRegistrars registrars,
      PeerTransport transport,
      PeerMessageCodec codec,
      PeerLatency latency,
      EventLoop eventLoop) {
    this.registrars = registrars;
    this.transport = transport;
    this.codec = codec;
    this.latency = latency;
    this.eventLoop = eventLoop;
    this.queryIds = new QueryIds(eventLoop);
  }

  /**
   * Queries the registrars of a stream.
   *
   * @param requestId the request whose response brought its first event
   * @param service the service that is to continue it
   * @param limitMillis the longest wait for replies, to which a round trip is added
   * @param callback runs exactly once: with the first record, when all have replied, or after a
   *     time limit
   */
  void ofStream(String requestId, String service, long limitMillis, Consumer<Answers> callback) {
    send(registrars.of(requestId), requestId, service, limitMillis, callback);
  }

  /**
   * Queries some peers for the only version of a service.
   *
   * @param key selects the peers
   * @param limitMillis as for {@link #ofStream}
   * @param callback as for {@link #ofStream}
   */
  void ofService(String key, String service, long limitMillis, Consumer<Answers> callback) {
    send(registrars.of(key), NO_STREAM, service, limitMillis, callback);
  }

  /**
   * Queries all peers, if they are known and not too many.
   *
   * @param requestId as for {@link #ofStream}; null for a query that is not about a certain stream
   * @param callback as for {@link #ofStream}
   */
  void ofAllPeers(String requestId, String service, Consumer<Answers> callback) {
    List<PeerAddress> all = registrars.allPeers();
    List<PeerAddress> receivers = all.size() <= MAX_QUERIED ? all : List.of();
    String stream = requestId == null ? NO_STREAM : requestId;
    send(receivers, stream, service, TIMEOUT_MILLIS, callback);
  }

  private void send(
      List<PeerAddress> receivers,
      String requestId,
      String service,
      long limitMillis,
      Consumer<Answers> callback) {
    if (receivers.isEmpty()
        || !StreamVersionCodec.fits(requestId)
        || !StreamVersionCodec.fits(service)) {
      callback.accept(Answers.NONE);
      return;
    }
    long queryId = queryIds.next();
    queries.put(queryId, new Query(callback, new HashSet<>(receivers)));
    byte[] datagram = codec.encode(new PeerMessage.StreamVersionQuery(queryId, requestId, service));
    long roundTripMillis = 0;
    for (PeerAddress receiver : receivers) {
      transport.send(receiver, datagram);
      roundTripMillis = Math.max(roundTripMillis, latency.roundTripMillis(receiver));
    }
    eventLoop.scheduleTimeLimit(
        limitMillis + roundTripMillis, () -> complete(queryId, Optional.empty()));
  }

  /** Handles a reply; one that is late or was not asked for is ignored. */
  void onReply(PeerAddress sender, PeerMessage.StreamVersionReply reply) {
    Query query = queries.get(reply.queryId());
    if (query == null || !query.unanswered.remove(sender)) {
      return;
    }
    switch (reply.evidence()) {
      case RECORD -> complete(reply.queryId(), Optional.of(reply.version()));
      case ONLY_VERSION -> query.onlyVersions.add(reply.version());
      case PROVEN_ONLY_VERSION -> {
        query.onlyVersions.add(reply.version());
        query.proven = true;
      }
      case SEVERAL_VERSIONS -> {
        query.withoutEvidence = true;
        query.severalVersions = true;
      }
      case NONE -> query.withoutEvidence = true;
    }
    if (query.unanswered.isEmpty()) {
      complete(reply.queryId(), Optional.empty());
    }
  }

  private void complete(long queryId, Optional<SoftwareVersion> recorded) {
    Query query = queries.remove(queryId);
    if (query != null) {
      query.callback.accept(query.answers(recorded));
    }
  }
}
