package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

class TestDeferredFlush {
  private static final int EVENTS = 1_000;
  private static final int EVENT_BYTES = 64;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final Queue<Runnable> endOfPass = new ArrayDeque<>();
  private final Queue<ChannelPromise> writes = new ArrayDeque<>();
  private final List<Integer> notAccepted = new ArrayList<>();
  private int flushes;
  private int acceptedEach = EVENTS;

  private final DeferredFlush flush =
      new DeferredFlush(endOfPass::add, this::flush, (write, bytes) -> notAccepted.add(bytes));

  private void flush() {
    flushes++;
    for (int i = 0; i < acceptedEach && !writes.isEmpty(); i++) {
      writes.remove().setSuccess();
    }
  }

  private void write(int events) {
    for (int event = 0; event < events; event++) {
      ChannelPromise written = channel.newPromise();
      writes.add(written);
      flush.written(written, EVENT_BYTES);
    }
  }

  /** Guards against a system call for each of very many events that arrive at once. */
  @Test
  void eventsOfOnePassAreFlushedTogether() {
    for (int pass = 1; pass <= 3; pass++) {
      write(EVENTS);
      assertEquals(pass - 1, flushes);
      endOfPass.remove().run();
      assertEquals(pass, flushes);
      assertEquals(0, endOfPass.size());
    }
  }

  /** Guards against callers that are paused for bytes that their connection would accept. */
  @Test
  void whatTheConnectionAcceptsInThePassIsNotTold() {
    write(EVENTS);
    assertEquals(List.of(), notAccepted);
    endOfPass.remove().run();
    assertEquals(List.of(), notAccepted);
  }

  @Test
  void whatTheConnectionDoesNotAcceptIsToldOnce() {
    acceptedEach = EVENTS - 2;
    write(EVENTS);
    flush.flushNow();
    assertEquals(List.of(EVENT_BYTES, EVENT_BYTES), notAccepted);
    endOfPass.remove().run();
    assertEquals(List.of(EVENT_BYTES, EVENT_BYTES), notAccepted);
  }
}
