package org.baykeel.gateway.ratelimit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.baykeel.gateway.peer.LimitTokenOutcome;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerMessageListener;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.telemetry.GatewayMetrics.LimitFigure;
import org.baykeel.gateway.tenancy.ProofExchange;
import org.baykeel.gateway.tenancy.Tenant;
import org.baykeel.gateway.tenancy.TenantId;

/**
 * Obtains a token for each request of a tenant with a limit: from a slice that this node has, from
 * this node's own bucket if it holds the tenant's partition, otherwise from the node that holds it.
 *
 * <p>Invariant: a token is used on this node only until {@link LimitBounds#holdMillis} after the
 * first query for it was sent, so it was granted at most that long before its use, however long the
 * reply was delayed.
 */
public final class SharedRequestLimiter implements RequestLimiter, PeerMessageListener {
  /**
   * The processing time of a slow node. A query is sent again after this delay times the number of
   * sends so far, plus the round trip to the holder.
   */
  private static final long RETRY_MILLIS_PER_SEND = 30;

  /**
   * While no node holds the partition, a request proceeds again after this delay times the number
   * of delays so far: many may wait, and a holder appears soon or not for seconds.
   */
  private static final long NO_HOLDER_RETRY_MILLIS = 20;

  private static final long MAX_NO_HOLDER_RETRY_MILLIS = 120;

  /** The number of sends of a query without a reply after which the lease rows are read again. */
  private static final int SENDS_BEFORE_REREAD = 2;

  /** The fraction of the hold time for which a slice should last. */
  private static final double SLICE_FRACTION_OF_HOLD = 0.5;

  /** The most tokens in one reply. */
  private static final int MAX_SLICE = 64;

  /**
   * The most replies that are retained of those that grant tokens, so that a duplicated query
   * receives the same reply.
   */
  private static final int MAX_SENT_REPLIES = 512;

  /** The span over which this node's own demand is averaged. */
  private static final double DEMAND_AVERAGING_NANOS = 1e9;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PartitionLeases leases;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final EventLoop eventLoop;
  private final LimitBounds bounds;
  private final Function<TenantId, Optional<Tenant>> tenants;
  private final ProofExchange proofs;
  private final PeerLatency peerLatency;
  private final GatewayMetrics metrics;
  private final Map<LimitPartition, HeldBuckets> buckets = new HashMap<>();
  private final Map<TenantId, LocalDemand> localDemands = new HashMap<>();
  private final Map<Long, TokenQuery> queries = new HashMap<>();
  private final Map<QueryKey, PeerMessage.LimitTokenReply> sentReplies =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(
            Map.Entry<QueryKey, PeerMessage.LimitTokenReply> eldest) {
          return size() > MAX_SENT_REPLIES;
        }
      };
  private long lastCorrelationId;
  private boolean started;

  /** Identifies a query of another node. */
  private record QueryKey(PeerAddress sender, long correlationId) {
    @Override
    public boolean equals(Object other) {
      return other instanceof QueryKey queryKey
          && correlationId == queryKey.correlationId
          && sender.equals(queryKey.sender);
    }

    @Override
    public int hashCode() {
      return Long.hashCode(correlationId) ^ sender.hashCode();
    }
  }

  /** This node's own demand for the tokens of a tenant, and the slice that it has. */
  private static final class LocalDemand {
    private final TokenSlice slice = new TokenSlice();
    private double demand;
    private long updatedNanos;

    /**
     * Records a request and returns the decayed number of requests, about those of the last
     * averaging span.
     */
    double recordRequest(long nowNanos) {
      demand = demand * Math.exp(-(nowNanos - updatedNanos) / DEMAND_AVERAGING_NANOS) + 1;
      updatedNanos = nowNanos;
      return demand;
    }
  }

  /** The buckets of a partition and the tenure under which they were created. */
  private record HeldBuckets(PartitionLeases.Tenure tenure, PartitionBuckets buckets) {}

  /**
   * Creates a limiter.
   *
   * @param leases the leases of all partitions
   * @param transport sends datagrams to the other nodes
   * @param bounds the accuracy with which limits are enforced
   * @param tenants finds the tenants of the active configuration
   * @param proofs the proofs of the configuration, which replies carry
   * @param peerLatency the round trips to the holders
   * @param firstCorrelationId a random number, so that no query has the id of one from an earlier
   *     incarnation
   */
  @SuppressWarnings("ParameterNumber")
  public SharedRequestLimiter(
      PartitionLeases leases,
      PeerTransport transport,
      PeerMessageCodec codec,
      EventLoop eventLoop,
      LimitBounds bounds,
      Function<TenantId, Optional<Tenant>> tenants,
      ProofExchange proofs,
      PeerLatency peerLatency,
      long firstCorrelationId,
      GatewayMetrics metrics) {
    this.leases = leases;
    this.transport = transport;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.bounds = bounds;
    this.tenants = tenants;
    this.lastCorrelationId = firstCorrelationId;
    this.proofs = proofs;
    this.peerLatency = peerLatency;
    this.metrics = metrics;
  }

  /**
   * Starts to read and acquire the leases of partitions, unless already started. Leases cost calls
   * to the store, so a node starts only if some tenant has a limit.
   */
  public void start() {
    if (!started) {
      started = true;
      leases.start();
    }
  }

  /** Releases the leases of this node, for a planned stop. */
  public void stop() {
    leases.stop();
  }

  /** Called when the store is reachable again after an outage; renews the leases of this node. */
  public void onStoreReachable() {
    leases.renewAll();
  }

  /** Returns the number of partitions that this node holds. */
  public int partitionsHeld() {
    return leases.held();
  }

  @Override
  public void decide(LimitedRequest request, long timeoutMillis, Consumer<Decision> answer) {
    Tenant tenant = request.tenant();
    if (tenant.limit().unlimited()) {
      answer.accept(new Decision.Allowed());
      return;
    }
    start();
    long now = eventLoop.nanoTime();
    LocalDemand localDemand = localDemands.computeIfAbsent(tenant.id(), id -> new LocalDemand());
    double demand = localDemand.recordRequest(now);
    if (localDemand.slice.take(request.kind(), now)) {
      metrics.limitCounted(LimitFigure.FROM_SLICE, 1);
      answer.accept(new Decision.Allowed(localDemand.slice.use()));
      return;
    }
    double ahead = demand * (bounds.holdMillis() / 1e3) * SLICE_FRACTION_OF_HOLD;
    int wanted = (int) Math.min(MAX_SLICE, 1 + ahead);
    new TokenQuery(++lastCorrelationId, request, wanted, timeoutMillis, answer).proceed();
  }

  /** Decides with this node's own bucket; empty if this node does not hold the partition. */
  private Optional<TokenDecision> decideLocally(
      Tenant tenant, RequestKind kind, int programHash, int wanted) {
    LimitPartition partition = LimitPartition.of(tenant.id());
    return leases
        .tenure(partition)
        .map(tenure -> bucketsOf(partition, tenure))
        .map(held -> held.decide(tenant, kind, programHash, wanted, eventLoop.nanoTime()));
  }

  private PartitionBuckets bucketsOf(LimitPartition partition, PartitionLeases.Tenure tenure) {
    HeldBuckets held = buckets.get(partition);
    if (held == null || held.tenure() != tenure) {
      double initialTokens = tenure.first() ? Double.MAX_VALUE : bounds.takeoverTokens();
      held =
          new HeldBuckets(
              tenure, new PartitionBuckets(bounds.extraTokens(), initialTokens, !tenure.first()));
      buckets.put(partition, held);
    }
    return held.buckets();
  }

  @Override
  public void onMessage(PeerAddress sender, PeerMessage message) {
    if (message instanceof PeerMessage.LimitTokenRequest request) {
      reply(sender, request);
    } else if (message instanceof PeerMessage.LimitTokenReply reply) {
      TokenQuery query = queries.get(reply.correlationId());
      if (query != null) {
        query.onReply(sender, reply);
      }
    }
  }

  private void reply(PeerAddress sender, PeerMessage.LimitTokenRequest request) {
    QueryKey queryKey = new QueryKey(sender, request.correlationId());
    PeerMessage.LimitTokenReply reply = sentReplies.get(queryKey);
    if (reply == null) {
      reply = replyTo(request);
      if (reply.outcome() == LimitTokenOutcome.GIVEN) {
        sentReplies.put(queryKey, reply);
      }
    }
    transport.send(sender, codec.encode(reply.withProof(proofs.own())));
  }

  private PeerMessage.LimitTokenReply replyTo(PeerMessage.LimitTokenRequest request) {
    Tenant tenant = tenants.apply(request.tenant()).orElse(null);
    if (tenant == null || tenant.limit().unlimited()) {
      // The other node has a different configuration, which is a short-lived state.
      return PeerMessage.LimitTokenReply.notHeld(request.correlationId());
    }
    int wanted = Math.max(1, Math.min(MAX_SLICE, request.wanted()));
    RequestKind kind = request.firstTurn() ? RequestKind.FIRST_TURN : RequestKind.CONTINUING;
    return decideLocally(tenant, kind, request.programHash(), wanted)
        .map(decision -> replyOf(request.correlationId(), decision))
        .orElseGet(() -> PeerMessage.LimitTokenReply.notHeld(request.correlationId()));
  }

  private PeerMessage.LimitTokenReply replyOf(long correlationId, TokenDecision decision) {
    metrics.limitCounted(LimitFigure.GIVEN_TO_NODES, decision.tokens());
    return new PeerMessage.LimitTokenReply(
        correlationId,
        decision.tokens() > 0 ? LimitTokenOutcome.GIVEN : LimitTokenOutcome.REFUSED,
        decision.tokens(),
        decision.firstTurnsAllowed(),
        decision.retryMillis(),
        (float) decision.remaining(),
        decision.use(),
        Optional.empty());
  }

  /** The query of one request for a token from its own or another node's bucket. */
  private final class TokenQuery {
    private final long id;
    private final LimitedRequest request;
    private final LimitPartition partition;
    private final int wanted;
    private final Consumer<Decision> answer;
    private final long endNanos;
    private PeerAddress queriedHolder;
    private long firstSentNanos;
    private int sends;
    private int delays;
    private EventLoop.Timer retry;

    TokenQuery(
        long id,
        LimitedRequest request,
        int wanted,
        long timeoutMillis,
        Consumer<Decision> answer) {
      this.id = id;
      this.request = request;
      this.partition = LimitPartition.of(request.tenant().id());
      this.wanted = wanted;
      this.answer = answer;
      this.endNanos = eventLoop.nanoTime() + timeoutMillis * 1_000_000;
    }

    void proceed() {
      Optional<TokenDecision> local =
          decideLocally(request.tenant(), request.kind(), request.programHash(), 1);
      if (local.isPresent()) {
        metrics.limitCounted(LimitFigure.FROM_OWN_BUCKET, local.get().tokens());
        onDecision(local.get());
        return;
      }
      if (eventLoop.nanoTime() - endNanos >= 0) {
        metrics.limitCounted(LimitFigure.UNDECIDED, 1);
        end(new Decision.Undecided());
        return;
      }
      queries.put(id, this);
      Optional<PeerAddress> holder = leases.holder(partition);
      if (holder.isEmpty() || sends >= SENDS_BEFORE_REREAD) {
        leases.requestLease(partition);
      }
      if (holder.isPresent()) {
        query(holder.get());
      } else {
        awaitHolder();
      }
    }

    private void query(PeerAddress holder) {
      if (!holder.equals(queriedHolder)) {
        queriedHolder = holder;
        firstSentNanos = eventLoop.nanoTime();
      }
      sends++;
      boolean firstTurn = request.kind() == RequestKind.FIRST_TURN;
      transport.send(
          holder,
          codec.encode(
              new PeerMessage.LimitTokenRequest(
                  id, wanted, firstTurn, request.programHash(), request.tenant().id())));
      long limitMillis = RETRY_MILLIS_PER_SEND * sends + peerLatency.roundTripMillis(holder);
      retry = eventLoop.scheduleTimeLimit(atMostRemaining(limitMillis), this::proceed);
    }

    private long atMostRemaining(long millis) {
      long remaining = Math.max(1, (endNanos - eventLoop.nanoTime()) / NANOS_PER_MILLI);
      return Math.min(millis, remaining);
    }

    private void awaitHolder() {
      delays++;
      long millis = Math.min(NO_HOLDER_RETRY_MILLIS * delays, MAX_NO_HOLDER_RETRY_MILLIS);
      retry = eventLoop.schedule(atMostRemaining(millis), this::proceed);
    }

    void onReply(PeerAddress sender, PeerMessage.LimitTokenReply reply) {
      if (!sender.equals(queriedHolder)) {
        return;
      }
      reply.proof().ifPresent(proofs::onProof);
      switch (reply.outcome()) {
        case GIVEN -> onTokens(Math.min(wanted, reply.tokens()), reply);
        case REFUSED ->
            onDecision(
                new TokenDecision(0, false, reply.retryMillis(), reply.remaining(), reply.use()));
        default -> onNotHeld();
      }
    }

    private void onTokens(int tokens, PeerMessage.LimitTokenReply reply) {
      long now = eventLoop.nanoTime();
      long expires = firstSentNanos + bounds.holdMillis() * 1_000_000;
      long useNanos = now + reply.retryMillis() * 1_000_000;
      if (tokens <= 0 || useNanos - expires >= 0) {
        metrics.limitCounted(LimitFigure.LOST, Math.max(0, tokens));
        return;
      }
      if (tokens > 1) {
        TokenSlice slice =
            localDemands.computeIfAbsent(request.tenant().id(), key -> new LocalDemand()).slice;
        metrics.limitCounted(
            LimitFigure.LOST,
            slice.add(tokens - 1, expires, reply.firstTurnsAllowed(), reply.use(), now));
      }
      onDecision(
          new TokenDecision(1, reply.firstTurnsAllowed(), reply.retryMillis(), 0, reply.use()));
    }

    private void onDecision(TokenDecision decision) {
      long useNanos = eventLoop.nanoTime() + decision.retryMillis() * 1_000_000;
      if (decision.tokens() > 0 && useNanos - endNanos > 0) {
        metrics.limitCounted(LimitFigure.LOST, decision.tokens());
        end(new Decision.Exceeded(Math.max(1, decision.retryMillis()), decision.remaining()));
      } else if (decision.tokens() > 0 && decision.retryMillis() > 0) {
        metrics.limitCounted(LimitFigure.WAITED, 1);
        queries.remove(id);
        cancelRetry();
        eventLoop.schedule(decision.retryMillis(), () -> end(new Decision.Allowed(decision.use())));
      } else if (decision.tokens() > 0) {
        end(new Decision.Allowed(decision.use()));
      } else {
        metrics.limitCounted(LimitFigure.REFUSED, 1);
        end(new Decision.Exceeded(Math.max(1, decision.retryMillis()), decision.remaining()));
      }
    }

    private void onNotHeld() {
      retry.cancel();
      leases.requestLease(partition);
      awaitHolder();
    }

    private void cancelRetry() {
      if (retry != null) {
        retry.cancel();
      }
    }

    private void end(Decision decision) {
      queries.remove(id);
      cancelRetry();
      answer.accept(decision);
    }
  }
}
