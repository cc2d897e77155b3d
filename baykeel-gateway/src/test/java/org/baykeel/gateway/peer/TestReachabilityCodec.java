package org.baykeel.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against probes that are not read as they were written, and against longer ones. */
class TestReachabilityCodec {
  private static final int BYTES = 24;

  private final PeerMessageCodec codec = new PeerMessageCodec();

  static Stream<PeerMessage> messages() {
    return Stream.of(
        new PeerMessage.ReachabilityProbe(Long.MAX_VALUE, -1),
        new PeerMessage.ReachabilityProbe(1, Long.MIN_VALUE),
        new PeerMessage.ReachabilityReply(Long.MIN_VALUE, 0),
        new PeerMessage.ReachabilityReply(7, 0x1234_5678_9ABC_DEF0L));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messagesAreReadAsWritten(PeerMessage message) {
    byte[] datagram = codec.encode(message);
    assertEquals(BYTES, datagram.length);
    assertEquals(Optional.of(message), codec.decode(datagram));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void shortenedMessagesAreDropped(PeerMessage message) {
    byte[] datagram = codec.encode(message);
    for (int length = 0; length < BYTES; length++) {
      assertEquals(Optional.empty(), codec.decode(Arrays.copyOf(datagram, length)));
    }
  }
}
