package org.baykeel.gateway.buffering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;

/** Guards against requests of callers that use more memory together than the node has for them. */
class TestRequestBytesLimiter {
  private static final long KIB = 1 << 10;
  private static final long NODE_BYTES = 1_000 * KIB;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final RequestBytesLimiter limiter =
      new RequestBytesLimiter(new RequestBytesLimiter.Bounds(NODE_BYTES), eventLoop);
  private final List<String> givenUp = new ArrayList<>();

  private RequestBytesLimiter.Request open(String name) {
    return limiter.open(() -> givenUp.add(name));
  }

  @Test
  void requestsWithinTheLimitAreKept() {
    open("a").holdBody(700 * KIB);
    open("b").holdHead(50 * KIB);
    assertEquals(List.of(), givenUp);
    assertEquals(750 * KIB, limiter.totalBytes());
  }

  @Test
  void largestOfEquallyOldRequestsIsGivenUp() {
    open("small").holdHead(10 * KIB);
    open("large").holdBody(500 * KIB);
    open("middle").holdBody(300 * KIB);
    assertEquals(List.of("large"), givenUp);
    assertEquals(310 * KIB, limiter.totalBytes());
  }

  @Test
  void slowRequestIsGivenUpBeforeLargerOne() {
    open("slow").holdBody(300 * KIB);
    eventLoop.advance(10_000);
    RequestBytesLimiter.Request growing = open("fast");
    growing.holdBody(400 * KIB);
    growing.holdBody(500 * KIB);
    assertEquals(List.of("slow"), givenUp);
  }

  @Test
  void completeRequestIsKept() {
    RequestBytesLimiter.Request complete = open("complete");
    complete.holdBody(700 * KIB);
    complete.complete();
    open("next").holdBody(100 * KIB);
    assertEquals(List.of("next"), givenUp);
    assertEquals(700 * KIB, limiter.totalBytes());
  }

  @Test
  void smallRequestsAreKeptWhileLargeOnesUseAllOfTheirMemory() {
    for (int i = 0; i < 10; i++) {
      RequestBytesLimiter.Request large = open("large " + i);
      large.holdBody(100 * KIB);
      large.complete();
    }
    givenUp.clear();
    for (int i = 0; i < 20; i++) {
      open("small").holdHead(10 * KIB);
    }
    assertEquals(List.of(), givenUp);
    assertFalse(limiter.hasRoomFor(100 * KIB));
    assertTrue(limiter.hasRoomFor(10 * KIB));
  }

  @Test
  void bytesBehindACompleteRequestAreGivenUp() {
    RequestBytesLimiter.Request pipelined = open("pipelined");
    pipelined.holdBody(10 * KIB);
    pipelined.complete();
    pipelined.holdUnread(700 * KIB);
    open("next").holdBody(200 * KIB);
    assertEquals(List.of("pipelined"), givenUp);
    assertEquals(210 * KIB, limiter.totalBytes());
  }

  @Test
  void endedAndClosedRequestsHoldNothing() {
    RequestBytesLimiter.Request request = open("a");
    request.holdHead(KIB);
    request.holdBody(KIB);
    request.holdUnread(KIB);
    request.complete();
    request.end();
    assertEquals(KIB, limiter.totalBytes());
    request.close();
    assertEquals(0, limiter.totalBytes());
  }

  @Test
  void limitMustBePositive() {
    assertThrows(IllegalArgumentException.class, () -> new RequestBytesLimiter.Bounds(0));
  }
}
