package org.baykeel.bench.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Schedules that once broke a promise, shrunk; each line says in a comment what it found. */
class TestRecordedSchedules {
  private static final String RESOURCE = "/schedules/found.jsonl";

  static Stream<String> schedules() throws IOException {
    try (InputStream in = TestRecordedSchedules.class.getResourceAsStream(RESOURCE)) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      return text.lines().filter(line -> line.startsWith("{")).toList().stream();
    }
  }

  @ParameterizedTest
  @MethodSource("schedules")
  void keepsAllPromises(String line) {
    Simulation.Result result = new Simulation(5, 4, FaultSchedule.parse(line), false).run();
    assertEquals(List.of(), result.violations());
  }
}
