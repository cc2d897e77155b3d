package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestEventStreamParser {
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
}
