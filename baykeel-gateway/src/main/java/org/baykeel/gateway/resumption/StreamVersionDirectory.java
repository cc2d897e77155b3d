package org.baykeel.gateway.resumption;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.baykeel.gateway.directory.ServiceVersions;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerMessageListener;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.peer.StreamVersionEvidence;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.TableFreshness;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Finds at which software version a stream began, also if another node, which may be gone, served
 * its beginning.
 *
 * <p>While a service has had a single version for longer than a stream can last, that version is
 * the answer, and no message is sent to peers. Otherwise the node at which a stream begins sends
 * its version to the stream's registrars, and the node at which it is resumed queries them. It also
 * writes the versions of its streams to the store, for the loss of all nodes.
 *
 * <p>Invariant: a version is found only if a record of the stream gives it, or if engines had no
 * other since before the stream can have begun, as far as this node or a peer has seen, and either
 * the store has confirmed that since or all peers have seen the same. Nodes that miss the same
 * changes, lost messages and restarts lead to unknown versions, never to wrong ones.
 */
public final class StreamVersionDirectory implements StreamVersions, PeerMessageListener {
  /** How long the store may take to confirm that this node knows all engines. */
  private static final long FRESHNESS_TIMEOUT_MILLIS = 150;

  /** The same for a query of a peer, which awaits the reply for a limited time. */
  private static final long REPLY_PROOF_MILLIS = 60;

  /** How long replies of peers are awaited that contradict what the store has confirmed. */
  private static final long CONTRADICTION_MILLIS = 25;

  /**
   * The requests that may follow one another until a stream is complete: the one that starts it and
   * those that resume it, each of which takes as long as its route allows.
   */
  private static final int REQUESTS_OF_STREAM = 3;

  private static final long MIN_WINDOW_NANOS = 5_000_000_000L;

  private final ServiceVersions serviceVersions;
  private final TableFreshness engineEntries;
  private final StreamRegistrars registrars;
  private final StreamVersionNotifier notifier;
  private final RegistrarQueries queries;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final EventLoop eventLoop;
  private final BooleanSupplier storeFailedRecently;
  private final LongSupplier longestRequestMillis;
  private final GatewayLog log;
  private final StreamVersionRecords records = new StreamVersionRecords();
  private final StreamVersionTable table;

  /**
   * Creates a directory without records.
   *
   * @param nodeName the name of this node, the key of its row in the store
   * @param serviceVersions the versions that this node has seen engines have
   * @param engineEntries proves that this node knows all engines
   * @param storeFailedRecently returns whether the store may still answer from an old state
   * @param latency the round trips to peers
   * @param longestRequestMillis returns the longest time, in milliseconds, that a route holds a
   *     request whose stream may be resumed
   */
  public StreamVersionDirectory(
      String nodeName,
      ServiceVersions serviceVersions,
      TableFreshness engineEntries,
      BooleanSupplier storeFailedRecently,
      DurableStore store,
      PeerDirectory peers,
      PeerTransport transport,
      PeerMessageCodec codec,
      PeerLatency latency,
      EventLoop eventLoop,
      LongSupplier longestRequestMillis,
      GatewayLog log) {
    this.serviceVersions = serviceVersions;
    this.engineEntries = engineEntries;
    this.storeFailedRecently = storeFailedRecently;
    this.registrars = new StreamRegistrars(peers);
    this.notifier = new StreamVersionNotifier(registrars, transport, codec, eventLoop);
    this.queries = new RegistrarQueries(registrars, transport, codec, latency, eventLoop);
    this.transport = transport;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.longestRequestMillis = longestRequestMillis;
    this.log = log;
    this.table =
        new StreamVersionTable(
            nodeName,
            store,
            codec,
            eventLoop,
            () -> peers.peers().size(),
            records::ownInProgress,
            stream ->
                records.addFromPeer(stream.requestId(), stream.version(), eventLoop.nanoTime()),
            log);
    serviceVersions.onChange(this::sendAmbiguous);
  }

  /** Returns the number of streams whose version is recorded here. */
  public long recorded() {
    return records.size();
  }

  /** Returns how many notices to registrars were not sent because of their limit. */
  public long noticesDropped() {
    return notifier.noticesDropped();
  }

  /** Returns the longest time from the first event of a stream to its last resumption. */
  private long windowNanos() {
    long longestNanos = longestRequestMillis.getAsLong() * 1_000_000;
    return Math.max(MIN_WINDOW_NANOS, REQUESTS_OF_STREAM * longestNanos);
  }

  private Optional<SoftwareVersion> onlyVersion(String service) {
    return serviceVersions.only(service, windowNanos(), eventLoop.nanoTime());
  }

  // Streams that begin at this node.

  @Override
  public void recordBegin(String requestId, String service, SoftwareVersion version) {
    long now = eventLoop.nanoTime();
    records.evict(windowNanos(), now);
    records.addOwn(requestId, service, version, now);
    if (onlyVersion(service).isEmpty()) {
      records.markSent(requestId);
      notifier.send(List.of(new PeerMessage.StreamVersion(requestId, version)));
      table.changed();
    }
  }

  @Override
  public void recordComplete(String requestId) {
    records.markComplete(requestId);
  }

  /** Sends the streams that began while their service had a single version, once it has others. */
  private void sendAmbiguous() {
    List<PeerMessage.StreamVersion> ambiguous = new ArrayList<>();
    Map<String, Boolean> ambiguousServices = new HashMap<>();
    for (StreamVersionRecords.Unsent stream : records.unsent()) {
      if (ambiguousServices.computeIfAbsent(
          stream.service(), service -> onlyVersion(service).isEmpty())) {
        records.markSent(stream.requestId());
        ambiguous.add(new PeerMessage.StreamVersion(stream.requestId(), stream.version()));
      }
    }
    notifier.send(ambiguous);
    if (!ambiguous.isEmpty()) {
      table.changed();
    }
  }

  // Streams that are resumed at this node.

  @Override
  public void find(BrokenStream stream, Consumer<Optional<SoftwareVersion>> answer) {
    long started = eventLoop.nanoTime();
    Optional<SoftwareVersion> recorded = record(stream.firstRequestId());
    if (recorded.isPresent()) {
      conclude(stream, VersionSource.OWN_RECORD, recorded, started, answer);
    } else if (onlyVersion(stream.service()).isEmpty()) {
      queryPeers(stream, started, answer);
    } else {
      engineEntries.await(
          started, FRESHNESS_TIMEOUT_MILLIS, fresh -> onFreshness(fresh, stream, started, answer));
    }
  }

  private Optional<SoftwareVersion> record(String firstRequestId) {
    return firstRequestId == null
        ? Optional.empty()
        : records.find(firstRequestId, windowNanos(), eventLoop.nanoTime());
  }

  private void onFreshness(
      boolean fresh,
      BrokenStream stream,
      long started,
      Consumer<Optional<SoftwareVersion>> answer) {
    Optional<SoftwareVersion> only = onlyVersion(stream.service());
    // A store that has just recovered may answer before it knows its latest changes.
    boolean confirmed = fresh && !storeFailedRecently.getAsBoolean();
    if (only.isPresent() && registrars.noPeersExist()) {
      conclude(stream, VersionSource.ONLY_VERSION, only, started, answer);
    } else if (only.isPresent() && confirmed) {
      queryRegistrars(
          stream,
          CONTRADICTION_MILLIS,
          answers -> onContradictions(answers, only, stream, started, answer));
    } else {
      queryPeers(stream, started, answer);
    }
  }

  /** The store may have confirmed an old state, if it failed without this node's notice. */
  private void onContradictions(
      RegistrarQueries.Answers answers,
      Optional<SoftwareVersion> only,
      BrokenStream stream,
      long started,
      Consumer<Optional<SoftwareVersion>> answer) {
    boolean contradicted =
        answers.severalVersions()
            || answers.onlyVersions().stream().anyMatch(version -> !version.equals(only.get()));
    if (answers.recorded().isPresent() || contradicted) {
      onAnswers(answers, stream, started, answer);
    } else {
      conclude(stream, VersionSource.ONLY_VERSION, only, started, answer);
    }
  }

  private void queryPeers(
      BrokenStream stream, long started, Consumer<Optional<SoftwareVersion>> answer) {
    queryRegistrars(
        stream,
        RegistrarQueries.TIMEOUT_MILLIS,
        answers -> onAnswers(answers, stream, started, answer));
  }

  private void queryRegistrars(
      BrokenStream stream, long limitMillis, Consumer<RegistrarQueries.Answers> onAnswers) {
    if (stream.firstRequestId() != null) {
      queries.ofStream(stream.firstRequestId(), stream.service(), limitMillis, onAnswers);
    } else {
      queries.ofService(stream.requestId(), stream.service(), limitMillis, onAnswers);
    }
  }

  private void onAnswers(
      RegistrarQueries.Answers answers,
      BrokenStream stream,
      long started,
      Consumer<Optional<SoftwareVersion>> answer) {
    Optional<SoftwareVersion> agreed = agreedVersion(answers, stream.service());
    if (answers.recorded().isPresent()) {
      conclude(stream, VersionSource.PEER_RECORD, answers.recorded(), started, answer);
    } else if (agreed.isPresent() && answers.proven()) {
      conclude(stream, VersionSource.ONLY_VERSION_OF_PEERS, agreed, started, answer);
    } else if (agreed.isPresent()) {
      queries.ofAllPeers(
          stream.firstRequestId(),
          stream.service(),
          all -> onAnswersOfAll(all, stream, started, answer));
    } else {
      concludeWithoutPeers(stream, started, answer);
    }
  }

  /** Returns the only version that all who replied, and this node, have seen. */
  private Optional<SoftwareVersion> agreedVersion(
      RegistrarQueries.Answers answers, String service) {
    Set<SoftwareVersion> candidates = new HashSet<>(answers.onlyVersions());
    candidates.addAll(serviceVersions.seen(service, windowNanos(), eventLoop.nanoTime()));
    boolean agreed = !answers.onlyVersions().isEmpty() && !answers.withoutEvidence();
    return agreed && candidates.size() == 1
        ? Optional.of(candidates.iterator().next())
        : Optional.empty();
  }

  /**
   * While the store confirms nothing to anybody, what all peers have seen counts. Those that reply
   * do not suffice: they may have missed the same changes.
   */
  private void onAnswersOfAll(
      RegistrarQueries.Answers answers,
      BrokenStream stream,
      long started,
      Consumer<Optional<SoftwareVersion>> answer) {
    Optional<SoftwareVersion> agreed = agreedVersion(answers, stream.service());
    boolean certain = answers.proven() || answers.complete();
    if (answers.recorded().isPresent()) {
      conclude(stream, VersionSource.PEER_RECORD, answers.recorded(), started, answer);
    } else if (agreed.isPresent() && certain) {
      conclude(stream, VersionSource.ONLY_VERSION_OF_PEERS, agreed, started, answer);
    } else {
      concludeWithoutPeers(stream, started, answer);
    }
  }

  private void concludeWithoutPeers(
      BrokenStream stream, long started, Consumer<Optional<SoftwareVersion>> answer) {
    if (stream.firstRequestId() == null) {
      conclude(stream, VersionSource.NONE, Optional.empty(), started, answer);
    } else {
      readRows(stream, started, answer);
    }
  }

  /** Reads the rows of all nodes, which have what nodes knew that were lost together. */
  private void readRows(
      BrokenStream stream, long started, Consumer<Optional<SoftwareVersion>> answer) {
    boolean[] concluded = new boolean[1];
    Runnable onRead =
        () -> {
          if (!concluded[0]) {
            concluded[0] = true;
            Optional<SoftwareVersion> stored = record(stream.firstRequestId());
            VersionSource source =
                stored.isPresent() ? VersionSource.STORED_RECORD : VersionSource.NONE;
            conclude(stream, source, stored, started, answer);
          }
        };
    table.read(onRead);
    eventLoop.schedule(FRESHNESS_TIMEOUT_MILLIS, onRead);
  }

  private void conclude(
      BrokenStream stream,
      VersionSource source,
      Optional<SoftwareVersion> version,
      long started,
      Consumer<Optional<SoftwareVersion>> answer) {
    long now = eventLoop.nanoTime();
    if (version.isPresent() && stream.firstRequestId() != null) {
      records.addFromPeer(stream.firstRequestId(), version.get(), now);
    }
    log.write(
        GatewayEvent.STREAM_VERSION_FOUND,
        "id",
        stream.requestId(),
        "resumes",
        stream.firstRequestId(),
        "service",
        stream.service(),
        "source",
        source.name().toLowerCase(Locale.ROOT),
        "version",
        version.map(SoftwareVersion::toString).orElse("unknown"),
        "ms",
        (now - started) / 1_000_000);
    answer.accept(version);
  }

  // Messages of peers.

  @Override
  public void onMessage(PeerAddress sender, PeerMessage message) {
    if (message instanceof PeerMessage.StreamVersionNotice notice) {
      onNotice(notice);
    } else if (message instanceof PeerMessage.StreamVersionQuery query) {
      reply(sender, query);
    } else if (message instanceof PeerMessage.StreamVersionReply reply) {
      queries.onReply(sender, reply);
    }
  }

  private void onNotice(PeerMessage.StreamVersionNotice notice) {
    long now = eventLoop.nanoTime();
    records.evict(windowNanos(), now);
    for (PeerMessage.StreamVersion stream : notice.streams()) {
      records.addFromPeer(stream.requestId(), stream.version(), now);
    }
  }

  private void reply(PeerAddress sender, PeerMessage.StreamVersionQuery query) {
    boolean mayProve =
        record(query.requestId()).isEmpty() && onlyVersion(query.service()).isPresent();
    if (mayProve) {
      engineEntries.await(
          eventLoop.nanoTime(),
          REPLY_PROOF_MILLIS,
          fresh -> reply(sender, query, fresh && !storeFailedRecently.getAsBoolean()));
    } else {
      reply(sender, query, false);
    }
  }

  private void reply(PeerAddress sender, PeerMessage.StreamVersionQuery query, boolean proven) {
    Optional<SoftwareVersion> recorded = record(query.requestId());
    Optional<SoftwareVersion> only = onlyVersion(query.service());
    SoftwareVersion version = recorded.or(() -> only).orElse(SoftwareVersion.UNSTATED);
    StreamVersionEvidence evidence = evidence(query.service(), recorded, only, proven);
    PeerMessage reply = new PeerMessage.StreamVersionReply(query.queryId(), evidence, version);
    transport.send(sender, codec.encode(reply));
  }

  private StreamVersionEvidence evidence(
      String service,
      Optional<SoftwareVersion> recorded,
      Optional<SoftwareVersion> only,
      boolean proven) {
    if (recorded.isPresent()) {
      return StreamVersionEvidence.RECORD;
    }
    if (only.isPresent()) {
      return proven
          ? StreamVersionEvidence.PROVEN_ONLY_VERSION
          : StreamVersionEvidence.ONLY_VERSION;
    }
    int seen = serviceVersions.seen(service, windowNanos(), eventLoop.nanoTime()).size();
    return seen > 1 ? StreamVersionEvidence.SEVERAL_VERSIONS : StreamVersionEvidence.NONE;
  }
}
