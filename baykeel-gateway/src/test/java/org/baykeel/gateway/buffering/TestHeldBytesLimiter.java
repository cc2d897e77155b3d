package org.baykeel.gateway.buffering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TestHeldBytesLimiter {
  private static final long CALL = 100;
  private static final long NODE = 1_000;
  private static final long UNREAD_MILLIS = 10_000;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final HeldBytesLimiter held =
      new HeldBytesLimiter(new HeldBytesLimiter.Bounds(CALL, NODE, UNREAD_MILLIS), eventLoop);
  private final List<String> abandoned = new ArrayList<>();

  /** A call whose source delivers bytes unless it is paused. */
  private final class Call implements ResponseSource {
    private final CallerFlow flow;
    private boolean read = true;

    Call(String name) {
      flow = held.open((bytes, node, millis) -> abandoned.add(name + " " + bytes + " " + millis));
      flow.setSource(this);
    }

    @Override
    public void pause() {
      read = false;
    }

    @Override
    public void resume() {
      read = true;
    }
  }

  private Call holding(String name, long bytes) {
    Call call = new Call(name);
    call.flow.hold(bytes);
    return call;
  }

  @ParameterizedTest(name = "{0} bytes held, {1} of them delivered: source is read {2}")
  @CsvSource({"99, 0, true", "100, 0, false", "100, 49, false", "100, 50, true", "180, 130, true"})
  void pausesACallAtItsLimitUntilHalfOfItIsRead(long bytes, long taken, boolean read) {
    Call call = holding("a", bytes);
    call.flow.delivered(taken);
    assertEquals(read, call.read);
    assertEquals(bytes - taken, held.totalBytes());
  }

  @Test
  void aNewSourceOfAPausedCallIsPausedToo() {
    Call call = holding("a", CALL);
    Call next = new Call("unused");
    call.flow.setSource(next);
    assertEquals(List.of(false, 1L), List.of(next.read, held.pausedCalls()));
    call.flow.delivered(CALL);
    assertTrue(next.read);
  }

  @Test
  void atTheNodeLimitPausesTheCallWithTheMostHeldBytesFirst() {
    Call most = holding("most", 90);
    eventLoop.advance(5);
    Call longest = holding("longest", 80);
    eventLoop.advance(5);
    Call later = holding("later", 80);
    List<Call> small = new ArrayList<>();
    for (int i = 0; i < 74; i++) {
      small.add(holding("small", 10));
    }
    assertEquals(0, held.pausedCalls());
    small.get(0).flow.hold(10);
    assertEquals(List.of(false, true, true), List.of(most.read, longest.read, later.read));
    small.get(0).flow.hold(10);
    assertEquals(List.of(false, false, true), List.of(most.read, longest.read, later.read));
    small.get(0).flow.hold(10);
    assertEquals(List.of(false, false, false), List.of(most.read, longest.read, later.read));
    assertEquals(74, small.stream().filter(call -> call.read).count());
  }

  @Test
  void atTheNodeLimitACallContinuesOnceItsCallerHasReadAll() {
    Call reader = holding("reader", 99);
    for (int i = 0; i < 11; i++) {
      holding("other", 90);
    }
    assertEquals(false, reader.read);
    reader.flow.delivered(60);
    assertEquals(false, reader.read);
    reader.flow.delivered(39);
    assertTrue(reader.read);
  }

  @Test
  void atHalfOfTheNodeLimitCallsBelowTheirResumeLevelContinue() {
    List<Call> calls = new ArrayList<>();
    for (int i = 0; i < 25; i++) {
      calls.add(holding("c", 40));
    }
    assertEquals(1, held.pausedCalls());
    calls.subList(1, 13).forEach(call -> call.flow.delivered(40));
    assertEquals(1, held.pausedCalls());
    calls.get(13).flow.delivered(40);
    assertEquals(0, held.pausedCalls());
  }

  @ParameterizedTest(name = "{0} of 10 callers read a little after 6 s")
  @ValueSource(ints = {0, 1, 9})
  void abandonsCallersThatReadNothingOnlyWhileTheNodeIsAtItsLimit(int readers) {
    List<Call> calls = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      calls.add(holding("c" + i, CALL + 20));
    }
    held.sweep();
    eventLoop.advance(6_000);
    calls.subList(0, readers).forEach(call -> call.flow.delivered(1));
    eventLoop.advance(UNREAD_MILLIS - 6_000 - 1);
    held.sweep();
    assertEquals(List.of(), abandoned);
    eventLoop.advance(1);
    held.sweep();
    // 1,200 bytes are held: abandoning two callers brings them below the limit.
    assertEquals(Math.min(2, 10 - readers), abandoned.size());
    assertEquals("c" + readers + " 120 10000", abandoned.get(0));
    eventLoop.advance(60_000);
    held.sweep();
    assertEquals(Math.min(2, 10 - readers) + (readers == 9 ? 1 : 0), abandoned.size());
  }

  @Test
  void heldBytesStayDeliverableBelowTheNodeLimit() {
    Call call = holding("a", NODE - 1);
    call.flow.setSource(ResponseSource.NONE);
    eventLoop.advance(600_000);
    held.sweep();
    assertEquals(List.of(), abandoned);
    assertEquals(NODE - 1, call.flow.held());
  }

  @Test
  void nothingIsHeldForADisconnectedCaller() {
    Call call = holding("a", 70);
    call.flow.close();
    call.flow.close();
    call.flow.delivered(70);
    call.flow.hold(30);
    assertEquals(List.of(0L, 0L), List.of(held.totalBytes(), held.pausedCalls()));
  }

  @ParameterizedTest
  @CsvSource({"0, 10, 1", "11, 10, 1", "5, 10, 0"})
  void rejectsInconsistentLimits(long call, long node, long millis) {
    assertThrows(
        IllegalArgumentException.class, () -> new HeldBytesLimiter.Bounds(call, node, millis));
  }

  /** Callers, half of which read nothing, request four times the node limit. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void heldBytesStayWithinTheNodeLimitAndReadersAreServed(long seed) {
    Random random = new Random(seed);
    List<Call> calls = new ArrayList<>();
    long[] delivered = new long[40];
    for (int i = 0; i < 40; i++) {
      calls.add(new Call("c" + i));
    }
    for (int step = 0; step < 20_000; step++) {
      int at = random.nextInt(40);
      Call call = calls.get(at);
      if (call.read) {
        call.flow.hold(1 + random.nextInt(10));
      }
      int reader = random.nextInt(20);
      long taken = calls.get(reader).flow.held();
      delivered[reader] += taken;
      calls.get(reader).flow.delivered(taken);
      eventLoop.advance(1);
      assertEquals(calls.stream().mapToLong(one -> one.flow.held()).sum(), held.totalBytes());
      // At the limit each call may add one more piece of up to 10 bytes before it is paused.
      assertTrue(held.totalBytes() <= NODE + 40 * 10, "held " + held.totalBytes());
    }
    for (int i = 0; i < 20; i++) {
      assertTrue(delivered[i] > 500, "caller " + i + " got " + delivered[i]);
    }
  }
}
