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

  /** Written out: the methods of a record are linked at run time, which costs each start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof PeerAddress address
        && port == address.port
        && host.equals(address.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + port;
  }
}
