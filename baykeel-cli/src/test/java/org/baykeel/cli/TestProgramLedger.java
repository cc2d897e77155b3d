package org.baykeel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestProgramLedger {
  private static final String USUAL =
      "status=200 outcome=streamed ms=200 first_ms=60 finish_ms=3000 grant_ms=5 history_ms=5"
          + " keep_ms=10 sends=1";

  private static final String USUAL_TOOL =
      "status=200 outcome=answered ms=50 first_ms=-1 finish_ms=3000 grant_ms=0 history_ms=0"
          + " keep_ms=0 sends=1";

  private static String call(long millis, String program, String id, String fields) {
    return "t="
        + millis
        + " event=330 name=CALL_ENDED node=n1 id="
        + id
        + " program="
        + program
        + " "
        + fields;
  }

  private static List<String> usualPrograms() {
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      lines.add(call(1_000 + i, "usual" + i, "t" + i, USUAL_TOOL));
      lines.add(call(1_300 + i, "usual" + i, "u" + i, USUAL));
    }
    return lines;
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "status=200 ms=900 first_ms=60 finish_ms=500 grant_ms=0 history_ms=5 keep_ms=700 sends=1"
            + "|LATE HISTORY",
        "status=200 ms=900 first_ms=760 finish_ms=500 grant_ms=0 history_ms=5 keep_ms=9 sends=1"
            + "|LATE FIRST_EVENT",
        "status=200 ms=900 first_ms=60 finish_ms=500 grant_ms=0 history_ms=5 keep_ms=9 sends=1"
            + "|LATE STREAM",
        "status=200 ms=900 first_ms=-1 finish_ms=500 grant_ms=0 history_ms=0 keep_ms=0 sends=1"
            + "|LATE TOOL",
        "status=504 ms=900 first_ms=-1 finish_ms=500 grant_ms=800 history_ms=0 keep_ms=0 sends=0"
            + "|FAILED GRANT",
        "status=502 ms=900 first_ms=-1 finish_ms=500 grant_ms=0 history_ms=0 keep_ms=0 sends=1"
            + "|FAILED FAILED_CALL",
        "status=402 ms=1 first_ms=-1 finish_ms=500 grant_ms=0 history_ms=0 keep_ms=0 sends=0"
            + "|BUDGET REFUSAL",
        "status=503 outcome=\"refused: no room\" ms=5 first_ms=-1 finish_ms=500 grant_ms=0"
            + " history_ms=0 keep_ms=0 sends=0|NO_ROOM REFUSAL",
        "status=404 ms=9 first_ms=-1 finish_ms=500 grant_ms=0 history_ms=3 keep_ms=0 sends=0"
            + "|UNKNOWN_TURN REFUSAL",
      })
  void aLossGetsTheCauseThatTookMostBeyondTheUsual(String fields, String expected) {
    List<String> log = usualPrograms();
    log.add(call(5_000, "p", "r1", fields));
    List<String> ledger = ProgramLedger.of(log.stream());
    String row = ledger.stream().filter(line -> line.startsWith("p ")).findFirst().orElseThrow();
    assertTrue(row.startsWith("p 1 " + expected + " "), row);
    assertTrue(ledger.contains("total in time: 20"), ledger::toString);
    assertTrue(ledger.contains("total " + expected + ": 1"), ledger::toString);
  }

  @Test
  void aProgramThatWaitedForANodeLostItsTimeBetweenCalls() {
    List<String> log = usualPrograms();
    log.add(call(5_000, "p", "r1", USUAL));
    log.add(call(9_000, "p", "r2", USUAL.replace("finish_ms=3000", "finish_ms=100")));
    List<String> ledger = ProgramLedger.of(log.stream());
    assertTrue(ledger.contains("total LATE BETWEEN_CALLS: 1"), ledger::toString);
  }

  @Test
  void callsOfNoProgramAreLeftOut() {
    List<String> log = List.of(call(1, "null", "r1", "status=404 ms=1 sends=0"), "not a line");
    assertEquals(1, ProgramLedger.of(log.stream()).size());
  }

  @Test
  void tellsWhenLostProgramsBeganAndWhatWasUsed() {
    List<String> lines = usualPrograms();
    lines.add(
        call(
            8_900,
            "lost",
            "x",
            "route=r7 status=502 ms=900 first_ms=-1 finish_ms=500 grant_ms=0 history_ms=0"
                + " keep_ms=0 sends=1"));
    lines.add("t=9000 event=341 name=USAGE node=n1 watch_op=3 engine_connections=2");
    lines.add("t=9100 event=341 name=USAGE node=n2 watch_op=4 create_budget=1");
    List<String> ledger = ProgramLedger.of(lines.stream());
    assertTrue(ledger.contains("begun in second    7 r7 FAILED: 1"), ledger.toString());
    assertTrue(ledger.contains("used watch_op: 7"), ledger.toString());
    assertTrue(ledger.contains("used engine_connections: 2"), ledger.toString());
  }
}
