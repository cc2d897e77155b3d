package org.baykeel.gateway.call;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestEventStreamParser {
  /** Each byte is searched once, appended, moved when the buffer grows, and copied to its event. */
  private static final int MAX_PASSES = 6;

  private final EventStreamParser parser = new EventStreamParser();
  private final List<StreamEvent> events = new ArrayList<>();

  private void add(String text) {
    parser.add(text.getBytes(StandardCharsets.UTF_8), events::add);
  }

  @Test
  void splitsAtBlankLinesForEveryCutOfTheBytes() {
    String stream = "id: 7\ndata: a\n\nweight-versions: 2\nid: 8\ndata: b\ndata: c\n\n";
    for (int cut = 0; cut < stream.length(); cut++) {
      events.clear();
      add(stream.substring(0, cut));
      add(stream.substring(cut));
      assertEquals(2, events.size(), "cut at " + cut);
      assertEquals(8, events.get(1).id());
      assertEquals("b\nc", new String(events.get(1).data(), StandardCharsets.UTF_8));
      assertFalse(parser.midEvent());
    }
  }

  @Test
  void acceptsCarriageReturns() {
    add("id: 1\r\ndata: x\r\n\r\n");
    assertEquals(1, events.get(0).id());
    assertEquals("x", new String(events.get(0).data(), StandardCharsets.UTF_8));
  }

  @Test
  void buffersAnIncompleteEvent() {
    add("id: 1\ndata: x\n");
    assertTrue(parser.midEvent());
    assertTrue(events.isEmpty());
  }

  @Test
  void anEventMayLackNumberAndData() {
    add(": comment\n\n");
    assertEquals(CallAttributes.ABSENT, events.get(0).id());
    assertNull(events.get(0).data());
  }

  @ParameterizedTest
  @ValueSource(strings = {"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", ": c\r\n\r\n", "\n\n"})
  void findsTheSameEventsWhateverThePartsAre(String event) {
    String stream = event.repeat(3);
    for (int partBytes = 1; partBytes <= stream.length(); partBytes++) {
      events.clear();
      for (int from = 0; from < stream.length(); from += partBytes) {
        add(stream.substring(from, Math.min(stream.length(), from + partBytes)));
      }
      assertEquals(3, events.size(), "parts of " + partBytes);
      events.forEach(found -> assertArrayEquals(event.getBytes(UTF_8), found.bytes()));
    }
  }

  /** Guards against work that grows with the square of the length of an event. */
  @ParameterizedTest
  @ValueSource(strings = {"x", "data: x\n", ": x\n", "id: 1\n", "data: x\r\n"})
  void workIsLinearInTheBytesOfAnEventInManyParts(String part) {
    int parts = 20_000;
    for (int i = 0; i < parts; i++) {
      add(part);
    }
    long bytes = (long) part.length() * parts;
    assertEquals(bytes, parser.pendingBytes());
    assertTrue(
        parser.bytesProcessed() <= MAX_PASSES * bytes, () -> parser.bytesProcessed() + " bytes");
  }

  /** Guards against work that grows with the square of the number of events read at once. */
  @Test
  void workIsLinearInTheBytesOfManyEvents() {
    String many = "id: 1\n\n".repeat(20_000);
    add(many);
    add(many);
    assertEquals(40_000, events.size());
    assertTrue(
        parser.bytesProcessed() <= 2 * MAX_PASSES * many.length(),
        () -> parser.bytesProcessed() + " bytes");
  }
}
