package org.baykeel.core.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;
import org.junit.jupiter.api.Test;

/** The replicated rules: order, budget, one open attempt, whatever a leader proposes. */
class TestProgramShard {
  private final ProgramShard shard = new ProgramShard();

  private void create(String id, String parent, long budget) {
    shard.apply(new LogRecord.ProgramCreated(id, "t", "c", parent, "k" + id, budget, 10, 0));
  }

  private void dispatch(String id, int call, int attempt, long reservation) {
    shard.apply(
        new LogRecord.CallDispatched(
            id,
            call,
            attempt,
            CallKind.MODEL,
            true,
            reservation,
            1,
            MemberId.NONE,
            "key-" + call,
            "m",
            "engine-" + attempt,
            "",
            Payload.EMPTY,
            Payload.of("body"),
            0));
  }

  private void complete(String id, int call, int attempt, long cost) {
    shard.apply(
        new LogRecord.CallCompleted(
            id, call, attempt, cost, new Usage(5, 5, 0), Payload.of("answer")));
  }

  private void fail(String id, int call, int attempt, ErrorKind kind, long cost, boolean closes) {
    shard.apply(new LogRecord.AttemptFailed(id, call, attempt, kind, cost, closes));
  }

  @Test
  void secondCallIsNotDispatchedWhileTheFirstIsOpen() {
    create("p", "", 100);
    dispatch("p", 1, 1, 10);
    dispatch("p", 2, 1, 10);
    assertEquals(1, shard.program("p").calls().size());
  }

  @Test
  void dispatchBeyondTheBudgetChangesNothing() {
    create("p", "", 100);
    dispatch("p", 1, 1, 101);
    assertEquals(0, shard.program("p").reserved());
    assertEquals(0, shard.program("p").calls().size());
  }

  @Test
  void childSpendsFromItsParent() {
    create("p", "", 100);
    create("c", "p", 100);
    dispatch("c", 1, 1, 60);
    dispatch("p", 1, 1, 60);
    assertEquals(60, shard.program("p").reserved());
    assertEquals(0, shard.program("p").calls().size(), "the parent's own call no longer fits");
    complete("c", 1, 1, 20);
    dispatch("p", 1, 1, 60);
    assertEquals(20, shard.program("p").spent());
    assertEquals(60, shard.program("p").reserved());
  }

  @Test
  void answerOfAnEarlierAttemptIsIgnored() {
    create("p", "", 100);
    dispatch("p", 1, 1, 10);
    fail("p", 1, 1, ErrorKind.BACKEND_FAILED, 10, false);
    dispatch("p", 1, 2, 10);
    complete("p", 1, 1, 3);
    assertNull(shard.program("p").calls().get(0).completion());
    complete("p", 1, 2, 3);
    assertNotNull(shard.program("p").calls().get(0).completion());
    assertEquals(13, shard.program("p").spent());
  }

  @Test
  void reservationWithoutProofOfTheEndStaysSpent() {
    create("p", "", 100);
    dispatch("p", 1, 1, 40);
    fail("p", 1, 1, ErrorKind.BACKEND_FAILED, 40, true);
    assertEquals(60, shard.program("p").available());
  }

  @Test
  void endOfAParentEndsItsChildren() {
    create("p", "", 100);
    create("c", "p", 100);
    shard.apply(new LogRecord.ProgramEnded("p", 5));
    assertNotNull(shard.program("c").ended());
    dispatch("c", 1, 1, 1);
    assertEquals(0, shard.program("c").calls().size());
  }

  @Test
  void snapshotRebuildsTheSameState() {
    create("p", "", 100);
    create("c", "p", 50);
    dispatch("p", 1, 1, 90);
    complete("p", 1, 1, 10);
    dispatch("c", 1, 1, 45);
    fail("c", 1, 1, ErrorKind.BACKEND_FAILED, 45, false);
    dispatch("p", 2, 1, 20);
    shard.apply(new LogRecord.SubmissionRefused("p", MemberId.NONE, 7, ErrorKind.OVERLOADED));
    List<LogRecord> records = shard.snapshot();
    ProgramShard copy = new ProgramShard();
    records.forEach(copy::apply);
    assertEquals(records, copy.snapshot());
    assertEquals(shard.program("p").spent(), copy.program("p").spent());
    assertEquals(shard.program("p").reserved(), copy.program("p").reserved());
    assertEquals(shard.program("c").available(), copy.program("c").available());
    assertEquals(
        ErrorKind.OVERLOADED, copy.program("p").refusalOf(new CallerOrigin(MemberId.NONE, 7)));
  }

  @Test
  void forgettingTakesTheWholeTree() {
    create("p", "", 100);
    create("c", "p", 50);
    shard.apply(new LogRecord.ProgramForgotten("c"));
    assertNotNull(shard.program("c"), "a part of a tree is not forgotten");
    shard.apply(new LogRecord.ProgramEnded("p", 5));
    shard.apply(new LogRecord.ProgramForgotten("p"));
    assertNull(shard.program("p"));
    assertNull(shard.program("c"));
  }
}
