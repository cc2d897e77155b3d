package org.baykeel.core.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** docs/EVENTS.md says what the enum says. */
class TestEventCatalogue {
  private static final Path PAGE = Path.of("..", "docs", "EVENTS.md");

  static String row(LogEvent event) {
    return String.format(
        "| %d | `%s` | %s | %s |", event.number(), event.name(), event.level(), event.pattern());
  }

  @Test
  void pageHasExactlyTheRowsOfTheEnum() throws IOException {
    List<String> rows =
        Files.readAllLines(PAGE).stream().filter(line -> line.matches("\\| \\d+ \\|.*")).toList();
    assertEquals(Arrays.stream(LogEvent.values()).map(TestEventCatalogue::row).toList(), rows);
  }

  @Test
  void numbersAreUnique() {
    long distinct = Arrays.stream(LogEvent.values()).map(LogEvent::number).distinct().count();
    assertEquals(LogEvent.values().length, distinct);
  }
}
