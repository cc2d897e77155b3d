package org.baykeel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestLogExcerpt {
  private static final String LOST = "t=1000 event=320 name=STORE_LOST node=n1";
  private static final String END =
      "t=2500 event=331 name=CALL_REFUSED node=n1 id=r1 program=p1 status=503";
  private static final String RETRY =
      "t=2600 event=330 name=CALL_ENDED node=n2 id=r2 program=p1 status=200";

  @Test
  void includesContextEventsOfTheSameNodeAroundARequest() {
    Stream<String> log =
        Stream.of(
            RETRY,
            "  17.3 n1 " + END,
            LOST,
            "t=9000 event=321 name=STORE_REGAINED node=n1",
            "t=1000 event=320 name=STORE_LOST node=n2",
            "not a line of the log");
    assertEquals(List.of(LOST, END), LogExcerpt.of("r1", log));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "CONFIGURATION_STALE",
        "LIMIT_LEASE_LOST",
        "ZONE_CORDONED",
        "ZONE_UNCORDONED",
        "ENGINE_COLD",
        "CONNECTION_SILENT",
      })
  void includesEventsThatChangeWhereRequestsMayRun(String name) {
    String line = "t=2000 event=999 name=" + name + " node=n1";
    assertEquals(List.of(line, END), LogExcerpt.of("r1", Stream.of(END, line)));
  }

  @Test
  void includesLinesOfAProgramFromAllNodes() {
    assertEquals(List.of(END, RETRY), LogExcerpt.of("p1", Stream.of(RETRY, END)));
  }

  @Test
  void doesNotMatchPartOfAnIdentifier() {
    assertEquals(List.of(), LogExcerpt.of("r", Stream.of(END)));
  }
}
