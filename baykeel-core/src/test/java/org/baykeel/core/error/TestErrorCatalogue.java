package org.baykeel.core.error;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** docs/ERRORS.md says what the enum says. */
class TestErrorCatalogue {
  private static final Path PAGE = Path.of("..", "docs", "ERRORS.md");

  static String row(ErrorKind kind) {
    return String.format(
        "| %d | `%s` | %d | %s | %s | %s |",
        kind.code(),
        kind.name().toLowerCase(Locale.ROOT),
        kind.httpStatus(),
        kind.execution().name().toLowerCase(Locale.ROOT),
        kind.retryAdvice().name().toLowerCase(Locale.ROOT),
        kind.summary());
  }

  @Test
  void pageHasExactlyTheRowsOfTheEnum() throws IOException {
    List<String> rows =
        Files.readAllLines(PAGE).stream().filter(line -> line.matches("\\| \\d+ \\|.*")).toList();
    assertEquals(Arrays.stream(ErrorKind.values()).map(TestErrorCatalogue::row).toList(), rows);
  }

  @Test
  void codesLeadBackToTheirKinds() {
    for (ErrorKind kind : ErrorKind.values()) {
      assertEquals(kind, ErrorKind.ofCode(kind.code()));
    }
  }
}
