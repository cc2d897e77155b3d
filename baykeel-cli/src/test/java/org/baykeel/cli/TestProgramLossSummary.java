package org.baykeel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestProgramLossSummary {
  private static final String TYPICAL_MODEL_CALL =
      "status=200 outcome=streamed ms=200 first_ms=60 finish_ms=3000 grant_ms=5 history_ms=5"
          + " keep_ms=10 sends=1";

  private static final String TYPICAL_TOOL_CALL =
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

  private static List<String> typicalPrograms() {
    List<String> lines = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      lines.add(call(1_000 + i, "usual" + i, "t" + i, TYPICAL_TOOL_CALL));
      lines.add(call(1_300 + i, "usual" + i, "u" + i, TYPICAL_MODEL_CALL));
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
  void attributesALossToTheCauseWithTheLargestExcess(String fields, String expected) {
    List<String> log = typicalPrograms();
    log.add(call(5_000, "p", "r1", fields));
    List<String> summary = ProgramLossSummary.of(log.stream());
    String row = summary.stream().filter(line -> line.startsWith("p ")).findFirst().orElseThrow();
    assertTrue(row.startsWith("p 1 " + expected + " "), row);
    assertTrue(summary.contains("total in time: 20"), summary::toString);
    assertTrue(summary.contains("total " + expected + ": 1"), summary::toString);
  }

  @Test
  void attributesALongGapBetweenCallsToBetweenCalls() {
    List<String> log = typicalPrograms();
    log.add(call(5_000, "p", "r1", TYPICAL_MODEL_CALL));
    log.add(call(9_000, "p", "r2", TYPICAL_MODEL_CALL.replace("finish_ms=3000", "finish_ms=100")));
    List<String> summary = ProgramLossSummary.of(log.stream());
    assertTrue(summary.contains("total LATE BETWEEN_CALLS: 1"), summary::toString);
  }

  @Test
  void ignoresCallsWithoutAProgram() {
    List<String> log = List.of(call(1, "null", "r1", "status=404 ms=1 sends=0"), "not a line");
    assertEquals(1, ProgramLossSummary.of(log.stream()).size());
  }

  @Test
  void reportsStartSecondsOfLostProgramsAndUsage() {
    List<String> lines = typicalPrograms();
    lines.add(
        call(
            8_900,
            "lost",
            "x",
            "route=r7 status=502 ms=900 first_ms=-1 finish_ms=500 grant_ms=0 history_ms=0"
                + " keep_ms=0 sends=1"));
    lines.add("t=9000 event=341 name=USAGE node=n1 watch_op=3 engine_connections=2");
    lines.add("t=9100 event=341 name=USAGE node=n2 watch_op=4 create_budget=1");
    List<String> summary = ProgramLossSummary.of(lines.stream());
    assertTrue(summary.contains("begun in second    7 r7 FAILED: 1"), summary.toString());
    assertTrue(summary.contains("used watch_op: 7"), summary.toString());
    assertTrue(summary.contains("used engine_connections: 2"), summary.toString());
  }
}
