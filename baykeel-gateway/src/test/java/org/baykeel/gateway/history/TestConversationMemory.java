package org.baykeel.gateway.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.buffering.EngineBody;
import org.baykeel.gateway.history.TurnHistory.Lookup;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a node that runs out of memory under turns that continue long conversations. */
class TestConversationMemory {
  private static final ProgramId PROGRAM = new ProgramId("p");
  private static final int TURN_BYTES = 100_000;
  private static final int TURNS = 6;
  private static final long CHAIN_BYTES = TURNS * TURN_BYTES;

  /**
   * Two conversations of the length that most of these tests use fit beside each other, also by the
   * rows of their turns.
   */
  private static final ConversationBounds BOUNDS = ConversationBounds.ofNode(2_200_000);

  private static final long GIVE_UP_MILLIS = 1_000;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final TurnHistory history = history(BOUNDS);
  private final List<Lookup> found = new ArrayList<>();

  private TurnHistory history(ConversationBounds bounds) {
    return new TurnHistory(store, eventLoop, bounds, TurnSource.NONE);
  }

  /** Stores a chain through another node and returns the identifier of its last turn. */
  private String storeChain(String name, int turns, int bytes) {
    TurnHistory other = history(ConversationBounds.ofNode(64 << 20));
    List<String> ancestors = new ArrayList<>();
    for (int i = 0; i < turns; i++) {
      String id = name + i;
      other.save(turn(id, ancestors, bytes), eventLoop.nanoTime() + 1_000_000_000L, saved -> {});
      ancestors.add(id);
      eventLoop.advance(20);
    }
    return ancestors.get(turns - 1);
  }

  private static StoredTurn turn(String id, List<String> ancestors, int bytes) {
    byte[] input = new byte[bytes - 10];
    java.util.Arrays.fill(input, (byte) id.charAt(0));
    return new StoredTurn(id, ancestors, input, new byte[10]);
  }

  private SearchLimits limits() {
    long nanos = eventLoop.nanoTime() + GIVE_UP_MILLIS * 1_000_000;
    return new SearchLimits(nanos, nanos);
  }

  private TurnHistory.Task find(String id) {
    return history.find(PROGRAM, id, limits(), lookup -> found.add(lookup));
  }

  private Conversation conversation(int index) {
    return assertInstanceOf(Lookup.Found.class, found.get(index)).conversation();
  }

  private long count(Class<? extends Lookup> kind) {
    return found.stream().filter(kind::isInstance).count();
  }

  private void closeAll() {
    for (Lookup lookup : List.copyOf(found)) {
      if (lookup instanceof Lookup.Found open) {
        open.conversation().close();
      }
    }
  }

  /** The bytes of the distinct arrays of bodies, whose last part is the same new input. */
  private static long distinctBytes(List<EngineBody> bodies) {
    Set<byte[]> arrays = Collections.newSetFromMap(new IdentityHashMap<>());
    bodies.forEach(body -> arrays.addAll(body.parts()));
    return arrays.stream().mapToLong(array -> array.length).sum();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void callsThatContinueOneTurnShareItsConversation(boolean inMemory) {
    String last = storeChain("a", TURNS, TURN_BYTES);
    if (inMemory) {
      find(last);
      eventLoop.advance(500);
    }
    for (int i = 0; i < 8; i++) {
      find(last);
    }
    eventLoop.advance(500);
    byte[] input = new byte[50];
    List<EngineBody> bodies = new ArrayList<>();
    for (int i = 0; i < found.size(); i++) {
      bodies.add(conversation(i).continuedBy(input));
    }
    assertEquals(CHAIN_BYTES + input.length, distinctBytes(bodies));
    assertEquals(CHAIN_BYTES, history.heldBytes());
    bodies.forEach(EngineBody::release);
    assertEquals(0, history.heldBytes());
  }

  /** Guards against a node that sends more at once than it can before the callers' deadlines. */
  @Test
  void callsThatContinueOneTurnWaitBeyondALimitOfWork() {
    String last = storeChain("a", TURNS, TURN_BYTES);
    find(last);
    eventLoop.advance(300);
    conversation(0).close();
    found.clear();
    for (int i = 0; i < 30; i++) {
      find(last);
    }
    assertEquals(11, count(Lookup.Found.class));
    assertEquals(11, history.waitingConversations());
    assertEquals(8, count(Lookup.NoRoom.class));
    closeAll();
    assertEquals(22, count(Lookup.Found.class));
    closeAll();
    assertEquals(0, history.heldBytes());
  }

  @Test
  void conversationsBeyondTheLimitWaitAndAreThenRefused() {
    List<String> last = new ArrayList<>();
    for (char name = 'a'; name < 'k'; name++) {
      last.add(storeChain("" + name, TURNS, TURN_BYTES));
    }
    last.forEach(this::find);
    eventLoop.advance(GIVE_UP_MILLIS - 100);
    assertEquals(2, count(Lookup.Found.class));
    assertTrue(history.totalBytes() <= BOUNDS.nodeBytes(), history.totalBytes() + " bytes");
    eventLoop.advance(200);
    assertEquals(8, count(Lookup.NoRoom.class));
    assertEquals(0, history.waitingConversations());
    closeAll();
    assertEquals(0, history.heldBytes());
  }

  @Test
  void conversationIsRefusedAtOnceIfTooManyWait() {
    List<String> last = new ArrayList<>();
    for (char name = 'a'; name < 'n'; name++) {
      last.add(storeChain("" + name, TURNS, TURN_BYTES));
    }
    last.forEach(this::find);
    eventLoop.advance(300);
    assertEquals(2, count(Lookup.NoRoom.class));
    assertEquals(9, history.waitingConversations());
    long turnovers =
        found.stream()
            .filter(Lookup.NoRoom.class::isInstance)
            .mapToLong(lookup -> ((Lookup.NoRoom) lookup).turnovers())
            .max()
            .orElseThrow();
    assertEquals(5, turnovers);
  }

  @Test
  void nothingIsReadOfAConversationThatDoesNotFitExceptItsSize() {
    List<String> last =
        List.of(
            storeChain("a", TURNS, TURN_BYTES),
            storeChain("b", TURNS, TURN_BYTES),
            storeChain("c", TURNS, TURN_BYTES));
    last.forEach(this::find);
    eventLoop.advance(GIVE_UP_MILLIS + 100);
    assertEquals(2, count(Lookup.Found.class));
    // The first rows of three chains, the last turns, and the other turns of two of them.
    assertEquals(3 * (TURNS + 1) + 2 * (TURNS - 1), store.reads());
  }

  @Test
  void conversationLongerThanTheLimitIsRefusedAtOnce() {
    String last = storeChain("a", 14, TURN_BYTES);
    find(last);
    eventLoop.advance(300);
    assertEquals(1, count(Lookup.TooLong.class));
    assertEquals(0, history.heldBytes());
  }

  @Test
  void longestConversationIsNotPassedByOthersForEver() {
    String longest = storeChain("z", 12, TURN_BYTES);
    List<String> others = new ArrayList<>();
    for (char name = 'a'; name < 'g'; name++) {
      others.add(storeChain("" + name, TURNS, TURN_BYTES));
    }
    find(others.get(0));
    eventLoop.advance(300);
    find(longest);
    eventLoop.advance(100);
    for (int i = 1; i < others.size(); i++) {
      find(others.get(i));
    }
    eventLoop.advance(100);
    assertEquals(1, count(Lookup.Found.class), "the others are not served before the longest");
    conversation(0).close();
    eventLoop.advance(300);
    assertEquals(2, count(Lookup.Found.class));
    assertEquals(12, conversation(found.size() - 1).turns().size());
  }

  @Test
  void shortConversationDoesNotWaitForLongOnes() {
    List<String> last =
        List.of(
            storeChain("a", TURNS, TURN_BYTES),
            storeChain("b", TURNS, TURN_BYTES),
            storeChain("c", TURNS, TURN_BYTES));
    String shortOne = storeChain("s", 2, 1_000);
    last.forEach(this::find);
    eventLoop.advance(300);
    find(shortOne);
    eventLoop.advance(30);
    assertEquals(List.of("s0", "s1"), conversation(2).ids());
    closeAll();
  }

  /** The stages of a search at which its call ends. */
  enum Stage {
    SIZES_ARE_READ(7),
    TURNS_ARE_READ(17),
    WAITING_FOR_MEMORY(300);

    private final long millis;

    Stage(long millis) {
      this.millis = millis;
    }
  }

  @ParameterizedTest
  @EnumSource
  void cancelledSearchHoldsNothingAndKeepsNoOtherWaiting(Stage stage) {
    String first = storeChain("a", TURNS, TURN_BYTES);
    String second = storeChain("b", 12, TURN_BYTES);
    String third = storeChain("c", TURNS, TURN_BYTES);
    if (stage == Stage.WAITING_FOR_MEMORY) {
      find(first);
      eventLoop.advance(300);
    }
    TurnHistory.Task search = find(second);
    eventLoop.advance(stage.millis);
    find(third);
    search.cancel();
    eventLoop.advance(300);
    assertEquals(found.size(), count(Lookup.Found.class));
    assertEquals("c5", conversation(found.size() - 1).ids().get(TURNS - 1));
    assertEquals(found.size() * CHAIN_BYTES, history.heldBytes());
    closeAll();
    assertEquals(0, history.heldBytes());
  }

  @Test
  void refusedConversationIsFoundOnceThereIsRoom() {
    String first = storeChain("a", TURNS, TURN_BYTES);
    String second = storeChain("b", TURNS, TURN_BYTES);
    String third = storeChain("c", TURNS, TURN_BYTES);
    find(first);
    find(second);
    find(third);
    eventLoop.advance(GIVE_UP_MILLIS + 100);
    assertEquals(1, count(Lookup.NoRoom.class));
    closeAll();
    found.clear();
    find(third);
    eventLoop.advance(300);
    assertEquals(TURNS, conversation(0).turns().size());
  }

  @Test
  void readsInProgressAreLimitedAndNotRepeatedForOtherCalls() {
    TurnHistory reading = history(ConversationBounds.ofNode(64 << 20));
    String last = storeChain("a", 18, 400_000);
    int before = store.reads();
    List<Lookup> results = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      reading.find(PROGRAM, last, limits(), results::add);
    }
    for (int i = 0; i < 500; i++) {
      eventLoop.advance(1);
      assertTrue(
          reading.readingBytes() <= TurnReader.MAX_BYTES_IN_PROGRESS,
          reading.readingBytes() + " bytes");
    }
    assertEquals(8, results.stream().filter(Lookup.Found.class::isInstance).count());
    assertEquals(2 * 18, store.reads() - before);
  }

  /** The ways in which the store fails while a chain is read. */
  enum ReadFailure {
    FROM_THE_START,
    AFTER_THE_SIZES
  }

  @ParameterizedTest
  @EnumSource
  void nothingIsHeldAfterAFailedRead(ReadFailure failure) {
    String last = storeChain("a", TURNS, TURN_BYTES);
    store.failReads(failure == ReadFailure.FROM_THE_START);
    find(last);
    // The sizes are being read, the rest is not.
    eventLoop.advance(12);
    store.failReads(true);
    eventLoop.advance(GIVE_UP_MILLIS + 200);
    assertInstanceOf(Lookup.Unavailable.class, found.get(0));
    assertEquals(0, history.heldBytes());
    assertEquals(0, history.readingBytes());
  }

  @Test
  void heldTurnIsNotReplacedByACopy() {
    String last = storeChain("a", 1, TURN_BYTES);
    find(last);
    eventLoop.advance(100);
    byte[] input = conversation(0).turns().get(0).input();
    history.save(
        turn("a0", List.of(), TURN_BYTES), eventLoop.nanoTime() + 1_000_000_000L, saved -> {});
    eventLoop.advance(100);
    find(last);
    eventLoop.advance(100);
    assertSame(input, conversation(1).turns().get(0).input());
  }

  @Test
  void idleTurnsGiveWayToHeldOnes() {
    String first = storeChain("a", TURNS, TURN_BYTES);
    String second = storeChain("b", TURNS, TURN_BYTES);
    String third = storeChain("c", TURNS, TURN_BYTES);
    for (String last : List.of(first, second, third)) {
      find(last);
      eventLoop.advance(300);
      assertTrue(history.totalBytes() <= BOUNDS.nodeBytes(), history.totalBytes() + " bytes");
      conversation(found.size() - 1).close();
    }
    assertEquals(0, history.heldBytes());
  }

  /** Guards against a chain that a peer encodes and receives as one message of any length. */
  @Test
  void turnsForAnotherNodeAreTheLastOnesUpToALimit() {
    String last = storeChain("a", 18, TURN_BYTES);
    TurnHistory whole = history(ConversationBounds.ofNode(64 << 20));
    whole.find(PROGRAM, last, limits(), found::add);
    eventLoop.advance(500);
    List<String> sent = whole.turnsInMemory(last).stream().map(StoredTurn::id).toList();
    assertEquals(conversation(0).ids().subList(8, 18), sent);
  }

  /** Guards against a stack that grows with the queue, on a thread with the stack of a node. */
  @Test
  void conversationsThatEndAtOnceDoNotRecur() throws InterruptedException {
    TurnMemory memory = new TurnMemory(BOUNDS);
    ConversationQueue queue = new ConversationQueue(memory, BOUNDS, eventLoop);
    List<ConversationQueue.Holding> first = new ArrayList<>();
    hold(queue, "blocking", BOUNDS.sharedBytes(), (decision, holding) -> first.add(holding));
    for (int i = 0; i < 4; i++) {
      hold(queue, "reserve" + i, BOUNDS.nodeBytes() / 16, (decision, holding) -> {});
    }
    int[] served = {0};
    for (int i = 0; i < 2_000; i++) {
      hold(
          queue,
          "waiting" + i,
          2_500,
          (decision, holding) -> {
            served[0]++;
            holding.end();
          });
    }
    assertEquals(2_000, queue.waiting());
    Thread thread = new Thread(null, () -> first.get(0).end(), "small stack", 256 << 10);
    thread.start();
    thread.join();
    assertEquals(2_000, served[0]);
  }

  private void hold(
      ConversationQueue queue, String id, long bytes, ConversationQueue.Callback callback) {
    queue.hold(List.of(new TurnSize(id, bytes)), limits().waitUntilNanos(), callback);
  }
}
