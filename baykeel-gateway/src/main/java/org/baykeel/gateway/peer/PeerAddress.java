package org.baykeel.gateway.peer;

import static java.util.Objects.requireNonNull;

import org.baykeel.gateway.network.IpLiterals;

/**
 * The address at which a node receives datagrams of other nodes.
 *
 * @param host the IP address
 * @param port the UDP port
 */
public record PeerAddress(String host, int port) {
  private static final int MAX_PORT = 65_535;

  public PeerAddress {
    requireNonNull(host, "host");
  }

  /**
   * Parses an address in the form of {@link #toString}.
   *
   * @param text the address
   * @throws IllegalArgumentException if the text is not an IP address and a port
   */
  public static PeerAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0 || IpLiterals.parse(text.substring(0, colon)).isEmpty()) {
      throw new IllegalArgumentException("peer address has no IP address and port: " + text);
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port <= 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("port of peer address is out of range: " + text);
    }
    return new PeerAddress(text.substring(0, colon), port);
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
    return this == other
        || other instanceof PeerAddress address
            && port == address.port
            && host.equals(address.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + port;
  }
}
