package org.baykeel.gateway.network;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TestIpLiterals {

  @ParameterizedTest
  @CsvSource({
    "127.0.0.1, 127.0.0.1",
    "255.255.255.255, 255.255.255.255",
    "::1, 0:0:0:0:0:0:0:1",
    "[::1], 0:0:0:0:0:0:0:1",
    "[2001:db8::9], 2001:db8:0:0:0:0:0:9",
    "::ffff:10.0.0.1, 10.0.0.1"
  })
  void readsLiteral(String text, String address) {
    assertEquals(Optional.of(address), IpLiterals.parse(text).map(InetAddress::getHostAddress));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        " ",
        "localhost",
        "no-such-host.invalid",
        "999.1.1.1",
        "1.2.3",
        "1",
        "127.0.0.1 ",
        "127.0.0.1.",
        "[::1",
        "::1]",
        "[]",
        "[127.0.0.1]",
        "fe80::1%eth0",
        "[fe80::1%1]",
        ":",
        "::g",
        "0x7f.0.0.1",
        "1:2:3:4:5:6:7:8:9"
      })
  void otherTextIsNoAddress(String text) {
    assertEquals(Optional.empty(), IpLiterals.parse(text));
  }
}
