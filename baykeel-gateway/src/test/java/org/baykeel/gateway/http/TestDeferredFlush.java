package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.Test;

class TestDeferredFlush {
  private static final int EVENTS = 1_000;

  private final Queue<Runnable> endOfPass = new ArrayDeque<>();
  private int flushes;

  /** Guards against a system call for each of very many events that arrive at once. */
  @Test
  void eventsOfOnePassAreFlushedTogether() {
    DeferredFlush flush = new DeferredFlush(endOfPass::add, () -> flushes++);
    for (int pass = 1; pass <= 3; pass++) {
      for (int event = 0; event < EVENTS; event++) {
        flush.request();
      }
      assertEquals(pass - 1, flushes);
      endOfPass.remove().run();
      assertEquals(pass, flushes);
      assertEquals(0, endOfPass.size());
    }
  }
}
