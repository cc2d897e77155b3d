package org.baykeel.gateway.buffering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestResponseBytesLimiter {
  private final ResponseBytesLimiter limiter =
      new ResponseBytesLimiter(new ResponseBytesLimiter.Bounds(10, 15, 20));
  private final List<String> givenUp = new ArrayList<>();

  private ResponseBytesLimiter.Response open(String engine, String name) {
    return limiter.open(engine, detail -> givenUp.add(name + ": " + detail));
  }

  @Test
  void responsesWithinAllLimitsAreKept() {
    ResponseBytesLimiter.Response first = open("a", "first");
    ResponseBytesLimiter.Response second = open("b", "second");
    first.hold(10);
    second.hold(10);
    assertEquals(20, limiter.totalBytes());
    first.close();
    first.close();
    second.hold(0);
    assertEquals(0, limiter.totalBytes());
    assertEquals(List.of(), givenUp);
  }

  @Test
  void responseBeyondItsOwnLimitIsGivenUp() {
    ResponseBytesLimiter.Response response = open("a", "first");
    response.hold(11);
    response.hold(12);
    assertEquals(List.of("first: response exceeds 10 bytes"), givenUp);
    assertEquals(0, limiter.totalBytes());
  }

  @Test
  void largestResponseOfAnEngineIsGivenUpBeyondItsLimit() {
    open("b", "other").hold(5);
    open("a", "large").hold(9);
    ResponseBytesLimiter.Response small = open("a", "small");
    small.hold(7);
    assertEquals(List.of("large: engine's responses exceed 15 bytes"), givenUp);
    assertEquals(12, limiter.totalBytes());
  }

  @Test
  void largestResponseOfTheNodeIsGivenUpBeyondItsLimit() {
    open("a", "first").hold(8);
    open("b", "second").hold(9);
    open("c", "third").hold(4);
    assertEquals(List.of("second: all responses exceed 20 bytes"), givenUp);
    assertEquals(12, limiter.totalBytes());
  }

  @Test
  void limitsMustNotDecreaseFromResponseToNode() {
    assertThrows(IllegalArgumentException.class, () -> new ResponseBytesLimiter.Bounds(10, 9, 20));
    assertThrows(IllegalArgumentException.class, () -> new ResponseBytesLimiter.Bounds(10, 15, 14));
    assertThrows(IllegalArgumentException.class, () -> new ResponseBytesLimiter.Bounds(0, 15, 20));
  }
}
