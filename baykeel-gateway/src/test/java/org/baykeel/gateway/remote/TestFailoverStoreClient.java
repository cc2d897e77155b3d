package org.baykeel.gateway.remote;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class TestFailoverStoreClient {
  private static final PeerAddress FIRST_PEER = new PeerAddress("10.0.0.2", 7000);
  private static final PeerAddress SECOND_PEER = new PeerAddress("10.0.0.3", 7000);
  private static final StoreCall CHANGE =
      new StoreCall(StoreCall.Method.POST, "/change", new byte[] {1}, 1_000, false);
  private static final StoreCall PROBE =
      new StoreCall(StoreCall.Method.GET, "/probe", null, 1_000, false);
  private static final long ANSWER_MILLIS = 5;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final List<PeerAddress> peers = new ArrayList<>();
  private static final long PARTIAL_OUTAGE_MILLIS = 250;

  private final List<StoreReply> replies = new ArrayList<>();
  private final ScriptedPath direct = new ScriptedPath();
  private final Map<PeerAddress, ScriptedPath> relayPaths = new HashMap<>();
  private final List<PeerAddress> otherRegionPeers = new ArrayList<>();
  private final RelayCandidates candidates =
      new RelayCandidates() {
        @Override
        public Collection<PeerAddress> sameRegion() {
          return peers;
        }

        @Override
        public Collection<PeerAddress> otherRegions() {
          return otherRegionPeers;
        }
      };
  private final FailoverStoreClient client =
      new FailoverStoreClient(
          direct,
          (peer, call, callback) -> relayPaths.get(peer).call(call, callback),
          candidates,
          PROBE,
          eventLoop,
          new Random(1),
          (event, fields) -> {});

  /** How a path to the store treats calls. */
  private enum PathBehavior {
    SERVES {
      @Override
      void reply(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> callback) {
        StoreReply served = new StoreReply.Answered(200, new byte[0]);
        loop.schedule(ANSWER_MILLIS, () -> callback.accept(served));
      }
    },
    SILENT {
      @Override
      void reply(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> callback) {
        StoreReply lost = new StoreReply.Lost("time-out");
        loop.schedule(call.timeoutMillis(), () -> callback.accept(lost));
      }
    },
    REFUSES_CALLS {
      @Override
      void reply(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> callback) {
        StoreReply refused = new StoreReply.Answered(503, new byte[0]);
        loop.schedule(ANSWER_MILLIS, () -> callback.accept(refused));
      }
    },
    RESETS {
      @Override
      void reply(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> callback) {
        loop.schedule(ANSWER_MILLIS, () -> callback.accept(new StoreReply.Lost("reset")));
      }
    },
    REFUSES_CONNECTIONS {
      @Override
      void reply(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> callback) {
        loop.schedule(1, () -> callback.accept(new StoreReply.NotSent("refused")));
      }
    };

    abstract void reply(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> callback);
  }

  /** A path to the store that counts its calls. */
  private final class ScriptedPath implements StoreClient {
    private PathBehavior behavior = PathBehavior.SERVES;
    private int calls;

    @Override
    public void call(StoreCall call, Consumer<StoreReply> callback) {
      calls++;
      behavior.reply(call, eventLoop, callback);
    }
  }

  private void addPeer(PeerAddress peer, PathBehavior behavior) {
    peers.add(peer);
    relayPaths.put(peer, new ScriptedPath());
    relayPaths.get(peer).behavior = behavior;
  }

  /**
   * Some of the store's partitions are unavailable: two of three calls fail, the others are
   * answered.
   */
  @Test
  void directPathSurvivesPartialStoreOutage() {
    addPeer(new PeerAddress("10.0.0.1", 1), PathBehavior.RESETS);
    callAndWait(50);
    int before = direct.calls;
    for (int i = 0; i < 30; i++) {
      direct.behavior = i % 3 == 2 ? PathBehavior.SERVES : PathBehavior.RESETS;
      assertEquals(i % 3 == 2, served(callAndWait(60)));
    }
    assertEquals(30, direct.calls - before);
  }

  @Test
  void nodeOfOtherRegionRelaysOnlyIfNoneOfOwnRegionRemains() {
    PeerAddress near = new PeerAddress("10.0.0.1", 1);
    PeerAddress distant = new PeerAddress("10.9.0.1", 1);
    addPeer(near, PathBehavior.SERVES);
    relayPaths.put(distant, new ScriptedPath());
    otherRegionPeers.add(distant);
    direct.behavior = PathBehavior.RESETS;
    for (int i = 0; i < 5; i++) {
      assertTrue(served(callAndWait(500)));
    }
    assertEquals(0, relayPaths.get(distant).calls);
    relayPaths.get(near).behavior = PathBehavior.RESETS;
    assertTrue(served(callAndWait(500)));
    assertEquals(1, relayPaths.get(distant).calls);
  }

  @Test
  void callStaysInItsRegionWithoutCandidatesOfOtherRegions() {
    PeerAddress near = new PeerAddress("10.0.0.1", 1);
    addPeer(near, PathBehavior.RESETS);
    direct.behavior = PathBehavior.RESETS;
    assertFalse(served(callAndWait(500)));
  }

  private StoreReply callAndWait(long millis) {
    int before = replies.size();
    client.call(CHANGE, replies::add);
    eventLoop.advance(millis);
    assertEquals(before + 1, replies.size(), "one outcome within " + millis + " ms");
    return replies.get(before);
  }

  private static boolean served(StoreReply reply) {
    return reply instanceof StoreReply.Answered answered && answered.status() == 200;
  }

  @ParameterizedTest
  @EnumSource(
      value = PathBehavior.class,
      names = {"SILENT", "REFUSES_CALLS", "REFUSES_CONNECTIONS"})
  void nodeThatAloneIsCutOffIsServedThroughRelay(PathBehavior broken) {
    addPeer(FIRST_PEER, PathBehavior.SERVES);
    direct.behavior = broken;
    callAndWait(2_000);
    for (int i = 0; i < 10; i++) {
      assertTrue(served(callAndWait(50)), "call " + i);
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = PathBehavior.class,
      names = {"SILENT", "REFUSES_CALLS", "REFUSES_CONNECTIONS"})
  void directPathIsUsedAgainOnceItWorks(PathBehavior broken) {
    addPeer(FIRST_PEER, PathBehavior.SERVES);
    direct.behavior = broken;
    callAndWait(2_000);
    callAndWait(2_000);
    direct.behavior = PathBehavior.SERVES;
    eventLoop.advance(1_500);
    int relayed = relayPaths.get(FIRST_PEER).calls;
    assertTrue(served(callAndWait(50)));
    assertEquals(relayed, relayPaths.get(FIRST_PEER).calls);
  }

  @Test
  void firstCallOfSilentOutageTakesFractionOfItsTimeout() {
    addPeer(FIRST_PEER, PathBehavior.SERVES);
    callAndWait(50);
    direct.behavior = PathBehavior.SILENT;
    assertTrue(served(callAndWait(300)));
  }

  @Test
  void secondRelayIsTriedIfFirstIsCutOffToo() {
    addPeer(FIRST_PEER, PathBehavior.REFUSES_CONNECTIONS);
    addPeer(SECOND_PEER, PathBehavior.SERVES);
    direct.behavior = PathBehavior.REFUSES_CONNECTIONS;
    for (int i = 0; i < 6; i++) {
      assertTrue(served(callAndWait(500)), "call " + i);
    }
  }

  @Test
  void storeUnreachableFromAllNodesIsCalledRarely() {
    addPeer(FIRST_PEER, PathBehavior.REFUSES_CONNECTIONS);
    direct.behavior = PathBehavior.REFUSES_CALLS;
    for (int i = 0; i < 100; i++) {
      client.call(CHANGE, replies::add);
      eventLoop.advance(40);
    }
    assertTrue(direct.calls < 25, direct.calls + " direct calls in 4 s");
    assertTrue(
        relayPaths.get(FIRST_PEER).calls < 15, relayPaths.get(FIRST_PEER).calls + " relayed");
    direct.behavior = PathBehavior.SERVES;
    eventLoop.advance(300);
    assertTrue(served(callAndWait(50)));
  }

  @Test
  void callThatMayHaveBeenExecutedIsNeverReportedAsNotSent() {
    addPeer(FIRST_PEER, PathBehavior.REFUSES_CALLS);
    direct.behavior = PathBehavior.SILENT;
    assertInstanceOf(StoreReply.Lost.class, callAndWait(3_000));
  }

  @Test
  void callRefusedOnceByBusyStoreIsNotRelayed() {
    addPeer(FIRST_PEER, PathBehavior.SERVES);
    direct.behavior = PathBehavior.REFUSES_CALLS;
    callAndWait(50);
    assertEquals(0, relayPaths.get(FIRST_PEER).calls);
  }

  @Test
  void longPollsClosedEarlyDoNotBreakDirectPath() {
    StoreCall longPoll = new StoreCall(StoreCall.Method.GET, "/watch", null, 2_800, true);
    direct.behavior = PathBehavior.RESETS;
    for (int i = 0; i < 4; i++) {
      client.call(longPoll, replies::add);
    }
    eventLoop.advance(20);
    direct.behavior = PathBehavior.SERVES;
    assertTrue(served(callAndWait(ANSWER_MILLIS)));
  }

  /**
   * On a path that drops packets the call gets no reply at all, so it is relayed once its response
   * is overdue.
   */
  @Test
  void overdueLongPollIsRelayed() {
    addPeer(FIRST_PEER, PathBehavior.SERVES);
    direct.behavior = PathBehavior.SILENT;
    client.call(StoreCall.longPoll("/watch", 1_000), replies::add);
    eventLoop.advance(1_000);
    assertTrue(replies.isEmpty());
    eventLoop.advance(200);
    assertTrue(served(replies.get(0)));
  }

  @Test
  void notifiesWhenDirectPathIsRestored() {
    int[] restored = new int[1];
    client.onDirectPathRestored(() -> restored[0]++);
    callAndWait(50);
    eventLoop.advance(PARTIAL_OUTAGE_MILLIS);
    direct.behavior = PathBehavior.REFUSES_CONNECTIONS;
    callAndWait(10);
    callAndWait(10);
    eventLoop.advance(1_000);
    assertEquals(0, restored[0]);
    direct.behavior = PathBehavior.SERVES;
    eventLoop.advance(300);
    assertEquals(1, restored[0]);
  }

  @Test
  void firstProbeEndsBriefFailure() {
    direct.behavior = PathBehavior.REFUSES_CONNECTIONS;
    callAndWait(10);
    callAndWait(10);
    direct.behavior = PathBehavior.SERVES;
    eventLoop.advance(260);
    assertTrue(served(callAndWait(ANSWER_MILLIS)));
  }

  @Test
  void callOfAnotherNodeIsNotRelayed() {
    addPeer(FIRST_PEER, PathBehavior.SERVES);
    direct.behavior = PathBehavior.REFUSES_CONNECTIONS;
    for (int i = 0; i < 4; i++) {
      client.callDirectly(CHANGE, replies::add);
      eventLoop.advance(50);
    }
    assertEquals(4, replies.size());
    replies.forEach(reply -> assertInstanceOf(StoreReply.NotSent.class, reply));
    assertEquals(0, relayPaths.get(FIRST_PEER).calls);
  }

  @Test
  void slowStoreIsNotCalledTwiceForEachCall() {
    addPeer(FIRST_PEER, PathBehavior.SERVES);
    int slowMillis = 240;
    StoreClient slow =
        (call, callback) ->
            eventLoop.schedule(
                slowMillis, () -> callback.accept(new StoreReply.Answered(200, new byte[0])));
    FailoverStoreClient slowClient =
        new FailoverStoreClient(
            slow,
            (peer, call, callback) -> {
              relayPaths.get(peer).calls++;
              slow.call(call, callback);
            },
            RelayCandidates.sameRegion(peers),
            PROBE,
            eventLoop,
            new Random(1),
            (event, fields) -> {});
    for (int i = 0; i < 100; i++) {
      slowClient.call(CHANGE, replies::add);
      eventLoop.advance(slowMillis * 2);
    }
    assertTrue(relayPaths.get(FIRST_PEER).calls < 20, relayPaths.get(FIRST_PEER).calls + " copies");
  }
}
