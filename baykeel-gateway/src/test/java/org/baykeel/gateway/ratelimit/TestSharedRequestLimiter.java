package org.baykeel.gateway.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.baykeel.gateway.peer.LimitTokenOutcome;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessage.LimitTokenReply;
import org.baykeel.gateway.peer.PeerMessage.LimitTokenRequest;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.ratelimit.RequestLimiter.Decision;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StoreClock;
import org.baykeel.gateway.storage.TableFreshness;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.tenancy.ProofExchange;
import org.baykeel.gateway.tenancy.Tenant;
import org.baykeel.gateway.tenancy.TenantId;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingPeerNetwork;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.testing.TestingTenancy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests leases, queries and replies between two nodes, and datagrams from senders that are no peers
 * or whose contents are invalid.
 */
class TestSharedRequestLimiter {
  private static final Tenant TENANT = TestingTenancy.tenant("t", 10, 10);
  private static final PeerAddress HOLDER = new PeerAddress("10.0.0.1", 7_000);
  private static final PeerAddress OTHER = new PeerAddress("10.0.0.2", 7_000);
  private static final PeerAddress UNKNOWN_NODE = new PeerAddress("10.0.0.9", 7_000);
  private static final int CAPACITY = 18;

  /** For so long a request waits for a decision, in milliseconds. */
  private static final long WAIT_MILLIS = 900;

  /** The most looks for a holder in that time, with those of the leases themselves. */
  private static final int MAX_LOOKS = 16;

  /** The tokens that the rate supplies while a request may wait for one. */
  private static final int LENT = 2;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final TestingPeerNetwork network = new TestingPeerNetwork(eventLoop);
  private final PeerMessageCodec codec = new PeerMessageCodec();
  private final Map<PeerAddress, SharedRequestLimiter> nodes = new HashMap<>();
  private final List<Decision> decisions = new ArrayList<>();

  private SharedRequestLimiter start(PeerAddress address, PeerAddress... others) {
    SharedRequestLimiter limiter = create(address, others);
    limiter.start();
    return limiter;
  }

  private SharedRequestLimiter create(PeerAddress address, PeerAddress... others) {
    StoreClock clock = new StoreClock();
    clock.observe(eventLoop.nanoTime(), eventLoop.nanoTime(), eventLoop.nanoTime() / 1_000_000);
    PartitionLeases leases =
        new PartitionLeases(
            address,
            store,
            clock,
            eventLoop,
            address.hashCode(),
            new PartitionOrder(address, () -> List.of(others)),
            (event, fields) -> {});
    SharedRequestLimiter limiter =
        new SharedRequestLimiter(
            leases,
            network.transportOf(address),
            codec,
            eventLoop,
            LimitBounds.of(5, 0.1, 20),
            id -> id.equals(TENANT.id()) ? Optional.of(TENANT) : Optional.empty(),
            new ProofExchange(OptionalLong::empty, new TableFreshness(eventLoop), clock, eventLoop),
            PeerLatency.ZERO,
            address.hashCode() * 1_000L,
            new GatewayMetrics());
    nodes.put(address, limiter);
    network.attach(
        address,
        (sender, datagram) ->
            codec.decode(datagram).ifPresent(message -> limiter.onMessage(sender, message)));
    return limiter;
  }

  private void startBoth() {
    start(HOLDER);
    eventLoop.advance(3_000);
    start(OTHER, HOLDER);
    eventLoop.advance(100);
    assertEquals(LimitPartition.COUNT, nodes.get(HOLDER).partitionsHeld());
  }

  private void request(PeerAddress node, int times) {
    for (int i = 0; i < times; i++) {
      LimitedRequest request = new LimitedRequest(TENANT, RequestKind.CONTINUING, Optional.empty());
      nodes.get(node).decide(request, WAIT_MILLIS, decisions::add);
    }
  }

  private long allowed() {
    return decisions.stream().filter(Decision.Allowed.class::isInstance).count();
  }

  private void deliver(PeerAddress sender, PeerAddress receiver, PeerMessage message) {
    nodes.get(receiver).onMessage(sender, message);
  }

  @Test
  void bothNodesTogetherGetTheTokensOfTheBucket() {
    startBoth();
    request(OTHER, 30);
    request(HOLDER, 30);
    eventLoop.advance(50);
    assertEquals(CAPACITY, allowed());
    eventLoop.advance(250);
    assertEquals(60, decisions.size());
    assertEquals(CAPACITY + LENT, allowed());
    Decision.Exceeded refused =
        (Decision.Exceeded)
            decisions.stream().filter(Decision.Exceeded.class::isInstance).findFirst().get();
    assertTrue(refused.retryMillis() > 0 && refused.retryMillis() <= 1_000);
  }

  /** A deployment without tenants must not pay for limits with calls to the store. */
  @Test
  void storeIsNotCalledBeforeATenantHasALimit() {
    create(OTHER);
    eventLoop.advance(5_000);
    assertEquals(0, store.reads() + store.transactions());
    request(OTHER, 1);
    eventLoop.advance(500);
    assertEquals(1, allowed());
  }

  @Test
  void tenantWithoutALimitIsAllowedWithoutAQuery() {
    create(OTHER);
    Tenant free = TestingTenancy.tenant("free", 0, 0);
    nodes
        .get(OTHER)
        .decide(
            new LimitedRequest(free, RequestKind.FIRST_TURN, Optional.empty()),
            900,
            decisions::add);
    assertEquals(1, allowed());
  }

  private double receivedUse(int index) {
    return ((Decision.Allowed) decisions.get(index)).use().multiple();
  }

  /** The holder receives requests at five times the limit, the other node a single request. */
  @Test
  void eachNodeReceivesTheDemandOverAllNodes() {
    startBoth();
    for (int i = 0; i < 200; i++) {
      request(HOLDER, 1);
      eventLoop.advance(20);
    }
    eventLoop.advance(300);
    decisions.clear();
    request(OTHER, 1);
    eventLoop.advance(300);
    assertTrue(receivedUse(0) > 2, "demand " + receivedUse(0));
  }

  @Test
  void sliceReturnsTheDemandReceivedLast() {
    TokenSlice slice = new TokenSlice();
    slice.add(2, 400_000_000, true, new LimitUse(3), 0);
    slice.add(1, 400_000_000, true, new LimitUse(4), 0);
    assertEquals(new LimitUse(4), slice.use());
  }

  @Test
  void demandOfATenantWithoutALimitIsUnknown() {
    create(OTHER);
    Tenant free = TestingTenancy.tenant("free", 0, 0);
    LimitedRequest request = new LimitedRequest(free, RequestKind.FIRST_TURN, Optional.empty());
    nodes.get(OTHER).decide(request, WAIT_MILLIS, decisions::add);
    assertEquals(LimitUse.UNKNOWN.multiple(), receivedUse(0));
  }

  /** The reply as a node of the previous version writes it, without the last field. */
  @Test
  void replyOfAnOlderNodeHasNoDemand() {
    LimitTokenReply reply =
        new LimitTokenReply(
            7, LimitTokenOutcome.GIVEN, 2, true, 0, 3.5f, new LimitUse(4), Optional.empty());
    byte[] current = codec.encode(reply);
    assertEquals(Optional.of(reply), codec.decode(current));
    byte[] older = Arrays.copyOf(current, current.length - Float.BYTES);
    older[0] -= Float.BYTES;
    older[6] = 1;
    LimitTokenReply read = (LimitTokenReply) codec.decode(older).orElseThrow();
    assertEquals(LimitUse.UNKNOWN, read.use());
    assertEquals(3.5f, read.remaining());
    assertEquals(2, read.tokens());
  }

  @ParameterizedTest
  @ValueSource(doubles = {Double.NaN, -1, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY})
  void invalidDemandOfAPeerIsUnknown(double received) {
    assertEquals(LimitUse.UNKNOWN, LimitUse.ofPeer(received));
  }

  @Test
  void stoppingNodeReleasesItsLeasesAndAnotherTakesThemAtOnce() {
    startBoth();
    nodes.get(HOLDER).stop();
    eventLoop.advance(20);
    request(OTHER, 1);
    eventLoop.advance(300);
    assertEquals(1, allowed());
  }

  @Test
  void bucketsOfADeadHolderAreNotTakenOverBeforeItsLeaseExpires() {
    startBoth();
    network.detach(HOLDER);
    network.cut(HOLDER, OTHER, true);
    request(OTHER, 1);
    eventLoop.advance(1_000);
    assertInstanceOf(Decision.Undecided.class, decisions.get(0));
  }

  /** The rows are those of a node that died immediately after it had written them. */
  @Test
  void leaseIsTakenOnlyAfterItHasCertainlyExpired() {
    long expiresMillis = eventLoop.nanoTime() / 1_000_000 + PartitionLeases.LEASE_MILLIS;
    byte[] row = new LeaseRow(UNKNOWN_NODE, 1, expiresMillis).encode();
    for (int i = 0; i < LimitPartition.COUNT; i++) {
      store.put(new RowAddress(PartitionLeases.TABLE, "", new LimitPartition(i).key()), row);
    }
    start(OTHER);
    for (int millis = 0; millis < 5_000; millis += 20) {
      request(OTHER, 1);
      eventLoop.advance(20);
      boolean over = eventLoop.nanoTime() / 1_000_000 > expiresMillis;
      assertTrue(over || nodes.get(OTHER).partitionsHeld() == 0, "held at " + millis);
    }
    assertTrue(nodes.get(OTHER).partitionsHeld() > 0);
    assertTrue(allowed() > 0);
  }

  /**
   * The tokens granted by the other holder in between are unknown, and it may have emptied the
   * bucket.
   */
  @Test
  void bucketHeldElsewhereInBetweenStartsNearlyEmpty() {
    start(HOLDER);
    eventLoop.advance(3_000);
    request(HOLDER, 1);
    byte[] row = new LeaseRow(UNKNOWN_NODE, 1, eventLoop.nanoTime() / 1_000_000 + 800).encode();
    for (int i = 0; i < LimitPartition.COUNT; i++) {
      store.put(new RowAddress(PartitionLeases.TABLE, "", new LimitPartition(i).key()), row);
    }
    eventLoop.advance(700);
    assertEquals(0, nodes.get(HOLDER).partitionsHeld());
    decisions.clear();
    request(HOLDER, 30);
    eventLoop.advance(900);
    assertEquals(30, decisions.size());
    assertTrue(allowed() > 0 && allowed() < 10, "allowed " + allowed());
  }

  @ParameterizedTest(name = "{0} ms after the tokens were added: usable {1}")
  @CsvSource({"0, true", "399, true", "400, false", "9000, false"})
  void tokenOfASliceExpires(long laterMillis, boolean usable) {
    TokenSlice slice = new TokenSlice();
    slice.add(2, 400_000_000, true, LimitUse.UNKNOWN, 0);
    assertEquals(usable, slice.take(RequestKind.CONTINUING, laterMillis * 1_000_000));
  }

  @Test
  void firstTurnsUseASliceOnlyIfItsHolderAllowsIt() {
    TokenSlice slice = new TokenSlice();
    slice.add(2, 400_000_000, false, LimitUse.UNKNOWN, 0);
    assertFalse(slice.take(RequestKind.FIRST_TURN, 0));
    assertTrue(slice.take(RequestKind.CONTINUING, 0));
    assertEquals(1, slice.add(1, 900_000_000, true, LimitUse.UNKNOWN, 500_000_000));
    assertTrue(slice.take(RequestKind.FIRST_TURN, 500_000_000));
    assertFalse(slice.take(RequestKind.FIRST_TURN, 500_000_000));
  }

  @Test
  void restartedNodeTakesItsLeasesBackWithNearlyEmptyBuckets() {
    startBoth();
    network.detach(HOLDER);
    eventLoop.advance(100);
    start(HOLDER, OTHER);
    eventLoop.advance(100);
    assertEquals(LimitPartition.COUNT, nodes.get(HOLDER).partitionsHeld());
    decisions.clear();
    request(HOLDER, 30);
    assertEquals(0, allowed(), "the earlier incarnation may have lent tokens");
    eventLoop.advance(250);
    assertEquals(2, allowed());
    eventLoop.advance(1_000);
    assertEquals(2, allowed());
  }

  @Test
  void requestWaitsForALentTokenOfAnotherNode() {
    startBoth();
    request(HOLDER, CAPACITY);
    decisions.clear();
    request(OTHER, 1);
    eventLoop.advance(80);
    assertEquals(0, decisions.size());
    eventLoop.advance(30);
    assertEquals(1, allowed());
  }

  /** A request that cannot wait long enough is refused at once, not when its timeout has passed. */
  @Test
  void requestIsRefusedAtOnceIfItsTokenComesTooLate() {
    startBoth();
    request(HOLDER, CAPACITY + 1);
    decisions.clear();
    LimitedRequest request = new LimitedRequest(TENANT, RequestKind.CONTINUING, Optional.empty());
    nodes.get(HOLDER).decide(request, 50, decisions::add);
    assertInstanceOf(Decision.Exceeded.class, decisions.get(0));
  }

  @Test
  void duplicatedQueryTakesTokensOnce() {
    startBoth();
    LimitTokenRequest query = new LimitTokenRequest(5, 3, false, 0, TENANT.id());
    for (int i = 0; i < 10; i++) {
      deliver(UNKNOWN_NODE, HOLDER, query);
    }
    request(HOLDER, 30);
    assertEquals(CAPACITY - 3, allowed());
  }

  @Test
  void queryTakesOnlyAFractionOfTheBucket() {
    startBoth();
    deliver(UNKNOWN_NODE, HOLDER, new LimitTokenRequest(1, 65_000, false, 0, TENANT.id()));
    deliver(UNKNOWN_NODE, HOLDER, new LimitTokenRequest(2, -7, false, 0, TENANT.id()));
    request(HOLDER, 30);
    assertTrue(allowed() >= CAPACITY * 0.6, "allowed " + allowed());
  }

  @Test
  void queryForAnUnknownTenantHasNoEffect() {
    startBoth();
    deliver(UNKNOWN_NODE, HOLDER, new LimitTokenRequest(1, 5, false, 0, new TenantId("nobody")));
    request(HOLDER, 30);
    assertEquals(CAPACITY, allowed());
  }

  @Test
  void unsolicitedRepliesGrantNothing() {
    startBoth();
    request(OTHER, 1);
    for (long id = -3_000; id < 3_000; id++) {
      long guess = OTHER.hashCode() * 1_000L + id;
      deliver(
          UNKNOWN_NODE,
          OTHER,
          new LimitTokenReply(
              guess,
              LimitTokenOutcome.GIVEN,
              60_000,
              true,
              0,
              0,
              LimitUse.UNKNOWN,
              Optional.empty()));
    }
    assertEquals(0, allowed());
    eventLoop.advance(50);
    assertEquals(1, allowed());
  }

  @Test
  void replyGrantsNoMoreThanWasRequested() {
    startBoth();
    network.detach(HOLDER);
    request(OTHER, 1);
    long id = OTHER.hashCode() * 1_000L + 1;
    deliver(
        HOLDER,
        OTHER,
        new LimitTokenReply(
            id, LimitTokenOutcome.GIVEN, 60_000, true, 0, 0, LimitUse.UNKNOWN, Optional.empty()));
    assertEquals(1, allowed());
    request(OTHER, 20);
    assertEquals(1, allowed());
  }

  /**
   * A token may be used only for a limited time after its query, however long the reply was
   * delayed.
   */
  @Test
  void lateReplyGrantsNothing() {
    startBoth();
    network.detach(HOLDER);
    request(OTHER, 1);
    eventLoop.advance(450);
    long id = OTHER.hashCode() * 1_000L + 1;
    deliver(
        HOLDER,
        OTHER,
        new LimitTokenReply(
            id, LimitTokenOutcome.GIVEN, 1, true, 0, 0, LimitUse.UNKNOWN, Optional.empty()));
    assertEquals(0, allowed());
  }

  /** Corrupt datagrams either fail to decode or have no effect on the limit. */
  @Test
  void corruptDatagramsAreTolerated() {
    startBoth();
    Random random = new Random(3);
    byte[] valid = codec.encode(new LimitTokenRequest(1, 1, false, 0, TENANT.id()));
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = valid.clone();
      int length = random.nextInt(bytes.length + 1);
      for (int flips = random.nextInt(4); flips > 0; flips--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      byte[] cut = Arrays.copyOf(bytes, length);
      codec.decode(cut).ifPresent(message -> deliver(UNKNOWN_NODE, HOLDER, message));
    }
    request(HOLDER, 100);
    assertTrue(allowed() <= CAPACITY);
  }

  @Test
  void holderThatCannotRenewStopsGrantingWhenItsLeaseExpires() {
    startBoth();
    store.fault(TestingStore.Fault.REFUSE);
    eventLoop.advance(2_000);
    request(HOLDER, 1);
    assertEquals(1, allowed());
    eventLoop.advance(2_500);
    assertEquals(0, nodes.get(HOLDER).partitionsHeld());
    decisions.clear();
    request(HOLDER, 1);
    eventLoop.advance(1_000);
    assertInstanceOf(Decision.Undecided.class, decisions.get(0));
  }

  /** Guards against many requests that look for a holder at a short interval for seconds. */
  @ParameterizedTest(name = "{0} requests wait")
  @ValueSource(ints = {10, 100, 1_000})
  void requestsThatWaitForAHolderLookRarely(int requests) {
    store.fault(TestingStore.Fault.REFUSE);
    store.failReads(true);
    start(OTHER);
    eventLoop.advance(1);
    long tasksBefore = eventLoop.tasksRun();
    request(OTHER, requests);
    eventLoop.advance(WAIT_MILLIS);
    assertEquals(requests, decisions.size());
    long looks = (eventLoop.tasksRun() - tasksBefore) / requests;
    assertTrue(looks <= MAX_LOOKS, () -> looks + " looks of each request");
  }

  @Test
  void renewalsWithLostResponsesDoNotEndALease() {
    startBoth();
    store.fault(TestingStore.Fault.LOSE_RESPONSE);
    eventLoop.advance(1_000);
    store.fault(TestingStore.Fault.NONE);
    eventLoop.advance(3_500);
    assertEquals(LimitPartition.COUNT, nodes.get(HOLDER).partitionsHeld());
    request(HOLDER, 30);
    assertEquals(CAPACITY, allowed());
  }

  @Test
  void invalidLeaseRowIsIgnored() {
    store.put(new RowAddress(PartitionLeases.TABLE, "", "p3"), new byte[] {9});
    store.put(new RowAddress(PartitionLeases.TABLE, "", "p999"), new byte[] {1});
    store.put(new RowAddress(PartitionLeases.TABLE, "", "else"), new byte[] {1});
    start(HOLDER);
    eventLoop.advance(3_000);
    assertEquals(LimitPartition.COUNT - 1, nodes.get(HOLDER).partitionsHeld());
  }

  /** Bounds the calls to the store that many nodes make when no node holds a partition. */
  @Test
  void nodesThatRequestTheSamePartitionWriteInSequence() {
    List<PeerAddress> all = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      all.add(new PeerAddress("10.0.1." + i, 7_000));
    }
    for (PeerAddress address : all) {
      List<PeerAddress> others = new ArrayList<>(all);
      others.remove(address);
      start(address, others.toArray(PeerAddress[]::new));
    }
    eventLoop.advance(200);
    int before = store.transactions();
    all.forEach(address -> request(address, 1));
    eventLoop.advance(700);
    assertTrue(allowed() >= CAPACITY, "allowed " + allowed());
    assertTrue(allowed() <= CAPACITY + 7, "allowed " + allowed());
    assertTrue(store.transactions() - before <= 6, "writes " + (store.transactions() - before));
  }
}
