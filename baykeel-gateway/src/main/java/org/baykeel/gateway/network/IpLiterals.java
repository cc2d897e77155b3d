package org.baykeel.gateway.network;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/**
 * Reads IP addresses in text form. Unlike {@link InetAddress#getByName}, this never asks a name
 * service, which would block the calling thread.
 */
public final class IpLiterals {
  private static final char SCOPE_SEPARATOR = '%';

  private IpLiterals() {}

  /**
   * Returns the address that a text represents.
   *
   * @param text an IPv4 address of four decimal numbers, or an IPv6 address without a scope,
   *     optionally in brackets
   * @return the address, or empty if the text is anything else, such as a host name
   */
  public static Optional<InetAddress> parse(String text) {
    byte[] address =
        text.indexOf(SCOPE_SEPARATOR) >= 0
            ? null
            : NetUtil.createByteArrayFromIpAddressString(text);
    if (address == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(InetAddress.getByAddress(address));
    } catch (UnknownHostException e) {
      throw new AssertionError("address of " + address.length + " bytes", e);
    }
  }
}
