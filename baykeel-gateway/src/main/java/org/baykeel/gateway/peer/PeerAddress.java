package org.baykeel.gateway.peer;

import static java.util.Objects.requireNonNull;

/**
 * The address at which a node receives datagrams of other nodes.
 *
 * @param host the IP address
 * @param port the UDP port
 */
public record PeerAddress(String host, int port) {
  public PeerAddress {
    requireNonNull(host, "host");
  }

  /**
   * Parses an address in the form of {@link #toString}.
   *
   * @param text the address
   * @throws IllegalArgumentException if the text is not an address
   */
  public static PeerAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("peer address is not host:port: " + text);
    }
    return new PeerAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ':' + port;
  }

  /**
   * Implemented by hand because the generated methods of a record are linked at run time, which
   * delays each process start.
   */
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
