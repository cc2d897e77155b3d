package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TestCarriedRequests {
  private final CarriedRequests carried = new CarriedRequests();

  /** Guards against a request that is forgotten while its connection may still be used. */
  @Test
  void containsAllRequestsUntilItIsFull() {
    for (int i = 0; i < CarriedRequests.MAX_REQUESTS; i++) {
      assertFalse(carried.isFull(), "after " + i);
      carried.add("request-" + i);
    }
    assertTrue(carried.isFull());
    for (int i = 0; i < CarriedRequests.MAX_REQUESTS; i++) {
      assertTrue(carried.contains("request-" + i), "request-" + i);
    }
    assertFalse(carried.contains("request-other"));
  }

  /** Two identifiers with the same hash count as one request. */
  @Test
  void mayContainMoreThanWasAdded() {
    carried.add("Aa");
    assertEquals("Aa".hashCode(), "BB".hashCode());
    assertTrue(carried.contains("BB"));
  }
}
