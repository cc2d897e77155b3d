package org.baykeel.gateway.http;

import java.util.Arrays;

/**
 * The requests that a connection to an engine has carried, as hashes of their identifiers. Two
 * identifiers with the same hash count as one request, which costs at most a new connection.
 */
final class CarriedRequests {
  /** The number of requests after which a connection is not used again; bounds the memory. */
  static final int MAX_REQUESTS = 1_024;

  private static final int INITIAL_CAPACITY = 8;

  private int[] hashes = new int[INITIAL_CAPACITY];
  private int count;

  /** Adds a request that is sent on the connection. */
  void add(String requestId) {
    if (count == hashes.length) {
      hashes = Arrays.copyOf(hashes, 2 * count);
    }
    hashes[count++] = requestId.hashCode();
  }

  /** Whether a request with the identifier may have been sent on the connection. */
  boolean contains(String requestId) {
    int hash = requestId.hashCode();
    for (int i = 0; i < count; i++) {
      if (hashes[i] == hash) {
        return true;
      }
    }
    return false;
  }

  /** Whether the connection carries no further request. */
  boolean isFull() {
    return count >= MAX_REQUESTS;
  }
}
