package org.baykeel.bench.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestTrace {
  private static final String GOOD = "{\"program\":\"a\",\"step\":\"END\"}";

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"program\":\"a\"",
        "{\"program\":\"a\"}",
        "{\"step\":\"END\"}",
        "{\"program\":\"a\",\"step\":\"JUMP\"}",
        "{\"program\":\"a\",\"step\":\"END\",\"colour\":1}"
      })
  void brokenLineIsNamed(String line) {
    BaykeelException error =
        assertThrows(BaykeelException.class, () -> Trace.parse("t.jsonl", List.of(GOOD, line)));
    assertEquals(ErrorKind.INVALID_REQUEST, error.kind());
    assertTrue(error.getMessage().startsWith("t.jsonl:2: "), error.getMessage());
  }

  @Test
  void traceComesBackFromItsLines() {
    Trace trace = TraceRecorder.freight(3, 4).trace();
    assertEquals(trace, Trace.parse("t", trace.lines()));
  }

  @Test
  void statedOutcomesComeBackFromTheirText() {
    TraceOutcomes outcomes = TraceRecorder.association(3, 4).outcomes();
    assertEquals(outcomes, TraceOutcomes.parse("o", outcomes.yaml()));
  }
}
