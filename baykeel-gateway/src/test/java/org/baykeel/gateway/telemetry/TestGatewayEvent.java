package org.baykeel.gateway.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class TestGatewayEvent {
  private static final Pattern ROW = Pattern.compile("(?m)^\\| (3\\d\\d) \\| `([A-Z_]+)` \\|");

  @Test
  void documentationListsExactlyTheseEvents() throws IOException {
    String documentation = Files.readString(Path.of("..", "docs", "GATEWAY-EVENTS.md"));
    List<String> listed =
        ROW.matcher(documentation)
            .results()
            .map((MatchResult row) -> row.group(1) + " " + row.group(2))
            .toList();
    List<String> events =
        Arrays.stream(GatewayEvent.values())
            .map(event -> event.number() + " " + event.name())
            .toList();
    assertEquals(events, listed);
  }
}
