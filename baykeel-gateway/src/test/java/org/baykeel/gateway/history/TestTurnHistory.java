package org.baykeel.gateway.history;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.baykeel.gateway.history.TurnHistory.Lookup;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.testing.TestingStore.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestTurnHistory {
  private static final ProgramId PROGRAM = new ProgramId("p");
  private static final ConversationBounds BOUNDS = ConversationBounds.ofNode(1 << 20);

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final TurnHistory history = new TurnHistory(store, eventLoop, BOUNDS, TurnSource.NONE);

  private static StoredTurn turn(String id, List<String> ancestors, int inputBytes) {
    byte[] output = ("out " + id + "\n").getBytes(StandardCharsets.UTF_8);
    byte[] input = new byte[inputBytes];
    java.util.Arrays.fill(input, (byte) id.charAt(0));
    return new StoredTurn(id, ancestors, input, output);
  }

  private Boolean save(TurnHistory target, StoredTurn turn, long advanceMillis) {
    AtomicReference<Boolean> saved = new AtomicReference<>();
    target.save(turn, eventLoop.nanoTime() + 1_500_000_000L, saved::set);
    eventLoop.advance(advanceMillis);
    return saved.get();
  }

  private SearchLimits limits() {
    long nanos = eventLoop.nanoTime() + 1_000_000_000L;
    return new SearchLimits(nanos, nanos);
  }

  private Lookup find(TurnHistory finder, String id) {
    AtomicReference<Lookup> found = new AtomicReference<>();
    finder.find(PROGRAM, id, limits(), found::set);
    eventLoop.advance(2_000);
    return found.get();
  }

  @Test
  void anotherProcessFindsTheWholeChainInOrder() {
    save(history, turn("a", List.of(), 10), 10);
    save(history, turn("b", List.of("a"), 20), 10);
    save(history, turn("c", List.of("a", "b"), 30), 10);
    TurnHistory other = new TurnHistory(store, eventLoop, BOUNDS, TurnSource.NONE);
    Lookup.Found found = assertInstanceOf(Lookup.Found.class, find(other, "c"));
    assertEquals(
        List.of("a", "b", "c"), found.conversation().turns().stream().map(StoredTurn::id).toList());
    assertTrue(other.inMemory("c"));
  }

  @Test
  void turnLargerThanARowIsRestoredCompletely() {
    StoredTurn large = turn("x", List.of(), 150_000);
    assertEquals(true, save(history, large, 10));
    TurnHistory other = new TurnHistory(store, eventLoop, BOUNDS, TurnSource.NONE);
    Lookup.Found found = assertInstanceOf(Lookup.Found.class, find(other, "x"));
    assertArrayEquals(large.input(), found.conversation().turns().get(0).input());
    assertArrayEquals(large.output(), found.conversation().turns().get(0).output());
  }

  @Test
  void anUnknownTurnIsAbsent() {
    assertInstanceOf(Lookup.Absent.class, find(history, "nowhere"));
  }

  @Test
  void aTurnThatCannotBeReadIsUnavailableAndNotAbsent() {
    save(history, turn("a", List.of(), 10), 10);
    store.failReads(true);
    TurnHistory other = new TurnHistory(store, eventLoop, BOUNDS, TurnSource.NONE);
    assertInstanceOf(Lookup.Unavailable.class, find(other, "a"));
  }

  /** Guards against a row by another writer for which the request waits until its deadline. */
  @ParameterizedTest
  @ValueSource(strings = {"", "01", "0100", "0101", "02010000", "0101ffffffff", "01010000ff"})
  void aTurnThatCannotBeDecodedIsUnavailableAtOnce(String hex) {
    save(history, turn("a", List.of(), 10), 10);
    RowAddress address = store.rows("turn").get(0).address();
    store.put(address, HexFormat.of().parseHex(hex));
    TurnHistory other = new TurnHistory(store, eventLoop, BOUNDS, TurnSource.NONE);
    AtomicReference<Lookup> found = new AtomicReference<>();
    other.find(PROGRAM, "a", limits(), found::set);
    // The store logs the error.
    assertThrows(RuntimeException.class, () -> eventLoop.advance(50));
    assertInstanceOf(Lookup.Unavailable.class, found.get());
  }

  @Test
  void aReadFromAnOldStateDoesNotMakeATurnAbsent() {
    store.freezeReads(true);
    save(history, turn("a", List.of(), 10), 10);
    TurnHistory other = new TurnHistory(store, eventLoop, BOUNDS, TurnSource.NONE);
    assertInstanceOf(Lookup.Unavailable.class, find(other, "a"));
    store.freezeReads(false);
    assertInstanceOf(Lookup.Found.class, find(other, "a"));
  }

  @Test
  void savingSucceedsOnlyIfItIsCertain() {
    store.fault(Fault.REFUSE);
    assertNull(save(history, turn("a", List.of(), 10), 1_000), "still retrying");
    eventLoop.advance(2_000);
    AtomicReference<Boolean> saved = new AtomicReference<>();
    history.save(turn("b", List.of(), 10), eventLoop.nanoTime(), saved::set);
    eventLoop.advance(100);
    assertEquals(false, saved.get());
  }

  @Test
  void lostResponseIsResolvedByTheNextAttempt() {
    store.fault(Fault.LOSE_RESPONSE);
    AtomicReference<Boolean> saved = new AtomicReference<>();
    history.save(turn("a", List.of(), 10), eventLoop.nanoTime() + 3_000_000_000L, saved::set);
    eventLoop.advance(500);
    store.fault(Fault.NONE);
    eventLoop.advance(1_000);
    assertEquals(true, saved.get());
  }

  @Test
  void turnsInMemoryNeedNoRead() {
    save(history, turn("a", List.of(), 10), 10);
    assertInstanceOf(Lookup.Found.class, find(history, "a"));
    assertEquals(0, store.reads());
  }
}
