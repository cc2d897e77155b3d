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

class TestFailoverStoreCaller {
  private static final PeerAddress FIRST_PEER = new PeerAddress("10.0.0.2", 7000);
  private static final PeerAddress SECOND_PEER = new PeerAddress("10.0.0.3", 7000);
  private static final StoreCall CHANGE =
      new StoreCall(StoreCall.Method.POST, "/change", new byte[] {1}, 1_000, false);
  private static final StoreCall PROBE =
      new StoreCall(StoreCall.Method.GET, "/probe", null, 1_000, false);
  private static final long ANSWER_MILLIS = 5;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final List<PeerAddress> peers = new ArrayList<>();
  private static final long ANSWERED_LATELY_MILLIS = 250;

  private final List<StoreReply> replies = new ArrayList<>();
  private final Script direct = new Script();
  private final Map<PeerAddress, Script> scripts = new HashMap<>();
  private final List<PeerAddress> far = new ArrayList<>();
  private final RelayCandidates candidates =
      new RelayCandidates() {
        @Override
        public Collection<PeerAddress> near() {
          return peers;
        }

        @Override
        public Collection<PeerAddress> far() {
          return far;
        }
      };
  private final FailoverStoreClient caller =
      new FailoverStoreClient(
          direct,
          (peer, call, answer) -> scripts.get(peer).call(call, answer),
          candidates,
          PROBE,
          eventLoop,
          new Random(1),
          (event, fields) -> {});

  /** What happens to calls that take a way to the store. */
  private enum Way {
    SERVES {
      @Override
      void answer(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> answer) {
        StoreReply served = new StoreReply.Answered(200, new byte[0]);
        loop.schedule(ANSWER_MILLIS, () -> answer.accept(served));
      }
    },
    SILENT {
      @Override
      void answer(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> answer) {
        StoreReply lost = new StoreReply.Lost("time-out");
        loop.schedule(call.timeoutMillis(), () -> answer.accept(lost));
      }
    },
    TURNS_AWAY {
      @Override
      void answer(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> answer) {
        StoreReply turnedAway = new StoreReply.Answered(503, new byte[0]);
        loop.schedule(ANSWER_MILLIS, () -> answer.accept(turnedAway));
      }
    },
    CUTS {
      @Override
      void answer(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> answer) {
        loop.schedule(ANSWER_MILLIS, () -> answer.accept(new StoreReply.Lost("reset")));
      }
    },
    REFUSES_CONNECTIONS {
      @Override
      void answer(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> answer) {
        loop.schedule(1, () -> answer.accept(new StoreReply.NotSent("refused")));
      }
    };

    abstract void answer(StoreCall call, TestingEventLoop loop, Consumer<StoreReply> answer);
  }

  /** A way that counts the calls it gets. */
  private final class Script implements StoreClient {
    private Way way = Way.SERVES;
    private int calls;

    @Override
    public void call(StoreCall call, Consumer<StoreReply> answer) {
      calls++;
      way.answer(call, eventLoop, answer);
    }
  }

  private void knowPeer(PeerAddress peer, Way way) {
    peers.add(peer);
    scripts.put(peer, new Script());
    scripts.get(peer).way = way;
  }

  /** Some of the store's partitions are away: two calls in three fail, the others are answered. */
  @Test
  void aStoreThatIsAwayInPartIsStillCalledDirectly() {
    knowPeer(new PeerAddress("10.0.0.1", 1), Way.CUTS);
    callAndWait(50);
    int before = direct.calls;
    for (int i = 0; i < 30; i++) {
      direct.way = i % 3 == 2 ? Way.SERVES : Way.CUTS;
      assertEquals(i % 3 == 2, served(callAndWait(60)));
    }
    assertEquals(30, direct.calls - before);
  }

  @Test
  void aNodeOfAnotherRegionRelaysOnlyIfNoNearOneIsLeft() {
    PeerAddress near = new PeerAddress("10.0.0.1", 1);
    PeerAddress distant = new PeerAddress("10.9.0.1", 1);
    knowPeer(near, Way.SERVES);
    scripts.put(distant, new Script());
    far.add(distant);
    direct.way = Way.CUTS;
    for (int i = 0; i < 5; i++) {
      assertTrue(served(callAndWait(500)));
    }
    assertEquals(0, scripts.get(distant).calls);
    scripts.get(near).way = Way.CUTS;
    assertTrue(served(callAndWait(500)));
    assertEquals(1, scripts.get(distant).calls);
  }

  @Test
  void withoutLeaveToPassOtherRegionsACallStaysInItsOwn() {
    PeerAddress near = new PeerAddress("10.0.0.1", 1);
    knowPeer(near, Way.CUTS);
    direct.way = Way.CUTS;
    assertFalse(served(callAndWait(500)));
  }

  private StoreReply callAndWait(long millis) {
    int before = replies.size();
    caller.call(CHANGE, replies::add);
    eventLoop.advance(millis);
    assertEquals(before + 1, replies.size(), "one outcome within " + millis + " ms");
    return replies.get(before);
  }

  private static boolean served(StoreReply reply) {
    return reply instanceof StoreReply.Answered answered && answered.status() == 200;
  }

  @ParameterizedTest
  @EnumSource(
      value = Way.class,
      names = {"SILENT", "TURNS_AWAY", "REFUSES_CONNECTIONS"})
  void aNodeThatAloneIsCutOffIsServedThroughAnother(Way broken) {
    knowPeer(FIRST_PEER, Way.SERVES);
    direct.way = broken;
    callAndWait(2_000);
    for (int i = 0; i < 10; i++) {
      assertTrue(served(callAndWait(50)), "call " + i);
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = Way.class,
      names = {"SILENT", "TURNS_AWAY", "REFUSES_CONNECTIONS"})
  void theDirectWayIsTakenAgainOnceItWorks(Way broken) {
    knowPeer(FIRST_PEER, Way.SERVES);
    direct.way = broken;
    callAndWait(2_000);
    callAndWait(2_000);
    direct.way = Way.SERVES;
    eventLoop.advance(1_500);
    int relayed = scripts.get(FIRST_PEER).calls;
    assertTrue(served(callAndWait(50)));
    assertEquals(relayed, scripts.get(FIRST_PEER).calls);
  }

  @Test
  void theFirstCallOfASilentOutageTakesAFractionOfItsTimeOut() {
    knowPeer(FIRST_PEER, Way.SERVES);
    callAndWait(50);
    direct.way = Way.SILENT;
    assertTrue(served(callAndWait(300)));
  }

  @Test
  void anotherRelayIsAskedIfOneIsCutOffToo() {
    knowPeer(FIRST_PEER, Way.REFUSES_CONNECTIONS);
    knowPeer(SECOND_PEER, Way.SERVES);
    direct.way = Way.REFUSES_CONNECTIONS;
    for (int i = 0; i < 6; i++) {
      assertTrue(served(callAndWait(500)), "call " + i);
    }
  }

  @Test
  void whileTheStoreIsAwayForAllItIsAskedSeldom() {
    knowPeer(FIRST_PEER, Way.REFUSES_CONNECTIONS);
    direct.way = Way.TURNS_AWAY;
    for (int i = 0; i < 100; i++) {
      caller.call(CHANGE, replies::add);
      eventLoop.advance(40);
    }
    assertTrue(direct.calls < 25, direct.calls + " direct calls in 4 s");
    assertTrue(scripts.get(FIRST_PEER).calls < 15, scripts.get(FIRST_PEER).calls + " relayed");
    direct.way = Way.SERVES;
    eventLoop.advance(300);
    assertTrue(served(callAndWait(50)));
  }

  @Test
  void aCallThatMayHaveBeenDoneIsNeverReportedAsNotSent() {
    knowPeer(FIRST_PEER, Way.TURNS_AWAY);
    direct.way = Way.SILENT;
    assertInstanceOf(StoreReply.Lost.class, callAndWait(3_000));
  }

  @Test
  void oneCallTurnedAwayByABusyStoreIsNotMadeAgainElsewhere() {
    knowPeer(FIRST_PEER, Way.SERVES);
    direct.way = Way.TURNS_AWAY;
    callAndWait(50);
    assertEquals(0, scripts.get(FIRST_PEER).calls);
  }

  @Test
  void longPollsThatTheServiceCutsSayNothingOfTheNextCall() {
    StoreCall longPoll = new StoreCall(StoreCall.Method.GET, "/watch", null, 2_800, true);
    direct.way = Way.CUTS;
    for (int i = 0; i < 4; i++) {
      caller.call(longPoll, replies::add);
    }
    eventLoop.advance(20);
    direct.way = Way.SERVES;
    assertTrue(served(callAndWait(ANSWER_MILLIS)));
  }

  /** A cut way says nothing; a question that should have been answered goes another way. */
  @Test
  void aLongPollThatIsOverdueGoesThroughAnotherNode() {
    knowPeer(FIRST_PEER, Way.SERVES);
    direct.way = Way.SILENT;
    caller.call(StoreCall.longPoll("/watch", 1_000), replies::add);
    eventLoop.advance(1_000);
    assertTrue(replies.isEmpty());
    eventLoop.advance(200);
    assertTrue(served(replies.get(0)));
  }

  @Test
  void tellsThatTheDirectWayIsBack() {
    int[] back = new int[1];
    caller.onDirectPathBack(() -> back[0]++);
    callAndWait(50);
    eventLoop.advance(ANSWERED_LATELY_MILLIS);
    direct.way = Way.REFUSES_CONNECTIONS;
    callAndWait(10);
    callAndWait(10);
    eventLoop.advance(1_000);
    assertEquals(0, back[0]);
    direct.way = Way.SERVES;
    eventLoop.advance(300);
    assertEquals(1, back[0]);
  }

  @Test
  void aBriefFailureIsOverWithTheFirstProbe() {
    direct.way = Way.REFUSES_CONNECTIONS;
    callAndWait(10);
    callAndWait(10);
    direct.way = Way.SERVES;
    eventLoop.advance(260);
    assertTrue(served(callAndWait(ANSWER_MILLIS)));
  }

  @Test
  void aCallOfAnotherNodeIsNotPassedOn() {
    knowPeer(FIRST_PEER, Way.SERVES);
    direct.way = Way.REFUSES_CONNECTIONS;
    for (int i = 0; i < 4; i++) {
      caller.callDirectly(CHANGE, replies::add);
      eventLoop.advance(50);
    }
    assertEquals(4, replies.size());
    replies.forEach(reply -> assertInstanceOf(StoreReply.NotSent.class, reply));
    assertEquals(0, scripts.get(FIRST_PEER).calls);
  }

  @Test
  void aSlowStoreIsNotAskedTwiceForEveryCall() {
    knowPeer(FIRST_PEER, Way.SERVES);
    int slowMillis = 240;
    StoreClient slow =
        (call, answer) ->
            eventLoop.schedule(
                slowMillis, () -> answer.accept(new StoreReply.Answered(200, new byte[0])));
    FailoverStoreClient patient =
        new FailoverStoreClient(
            slow,
            (peer, call, answer) -> {
              scripts.get(peer).calls++;
              slow.call(call, answer);
            },
            RelayCandidates.near(peers),
            PROBE,
            eventLoop,
            new Random(1),
            (event, fields) -> {});
    for (int i = 0; i < 100; i++) {
      patient.call(CHANGE, replies::add);
      eventLoop.advance(slowMillis * 2);
    }
    assertTrue(scripts.get(FIRST_PEER).calls < 20, scripts.get(FIRST_PEER).calls + " copies");
  }
}
