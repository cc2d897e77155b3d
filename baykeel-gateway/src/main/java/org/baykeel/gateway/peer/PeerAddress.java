package org.baykeel.gateway.peer;

import static java.util.Objects.requireNonNull;

/**
 * Where a node takes datagrams of other nodes.
 *
 * @param host its IP address
 * @param port its UDP port
 */
public record PeerAddress(String host, int port) {
  public PeerAddress {
    requireNonNull(host, "host");
  }

  /**
   * Reads what {@link #toString} has written.
   *
   * @param text an address
   * @throws IllegalArgumentException if it is none
   */
  public static PeerAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not an address: " + text);
    }
    return new PeerAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ':' + port;
  }
}
