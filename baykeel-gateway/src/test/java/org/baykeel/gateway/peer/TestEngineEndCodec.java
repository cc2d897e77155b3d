package org.baykeel.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.program.RequestFingerprint;
import org.junit.jupiter.api.Test;

class TestEngineEndCodec {
  private static final EngineIncarnation ENGINE =
      new EngineIncarnation(new EngineId("i-7f3a91c2ab"), 1_796_277_000_123L);
  private static final RequestFingerprint REQUEST = new RequestFingerprint(-2);

  private final PeerMessageCodec codec = new PeerMessageCodec();

  /** Encodes a message, requires that it is decoded as it was, and returns its length in bytes. */
  private int roundTrip(PeerMessage message) {
    byte[] datagram = codec.encode(message);
    assertEquals(Optional.of(message), codec.decode(datagram));
    return datagram.length;
  }

  private static PeerMessage.EngineEndNotice notice(int requests) {
    return new PeerMessage.EngineEndNotice(ENGINE, 17, Collections.nCopies(requests, REQUEST));
  }

  /** The lengths are those that docs/CAPACITY.md calculates with. */
  @Test
  void messagesAreDecodedAsEncoded() {
    assertEquals(
        List.of(40, 48, 168), List.of(0, 1, 16).stream().map(n -> roundTrip(notice(n))).toList());
    assertEquals(30, roundTrip(new PeerMessage.EngineEndWithdrawal(ENGINE)));
    assertEquals(22, roundTrip(new PeerMessage.RequestClearance(List.of(REQUEST))));
  }

  @Test
  void mostRequestsFitIntoOneDatagram() {
    EngineIncarnation longest = new EngineIncarnation(new EngineId("e".repeat(256)), 0);
    int bytes =
        roundTrip(
            new PeerMessage.EngineEndNotice(
                longest, 1, Collections.nCopies(EngineEndCodec.MAX_REQUESTS, REQUEST)));
    assertTrue(bytes <= PeerMessageCodec.MAX_MESSAGE_BYTES, bytes + " bytes");
  }

  @Test
  void ageThatDoesNotFitIsReduced() {
    byte[] datagram =
        codec.encode(new PeerMessage.EngineEndNotice(ENGINE, Long.MAX_VALUE, List.of()));
    assertEquals(
        Optional.of(new PeerMessage.EngineEndNotice(ENGINE, Integer.MAX_VALUE, List.of())),
        codec.decode(datagram));
  }
}
