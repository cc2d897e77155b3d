package org.baykeel.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
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
    assertEquals(34, roundTrip(new PeerMessage.EngineEndWithdrawal(ENGINE, 7)));
    assertEquals(26, roundTrip(new PeerMessage.RequestClearance(List.of(REQUEST), 7)));
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

  /** Guards against a short datagram that is decoded to any number of requests. */
  @Test
  void requestsOfLengthZeroAreRejected() {
    for (List<RequestFingerprint> requests : List.of(List.of(REQUEST), List.of(REQUEST, REQUEST))) {
      assertEquals(Optional.empty(), codec.decode(withEmptyElements(requests)));
    }
    PeerMessage.RequestClearance one = new PeerMessage.RequestClearance(List.of(REQUEST), 7);
    PeerMessage.RequestClearance two =
        new PeerMessage.RequestClearance(List.of(REQUEST, REQUEST), 7);
    byte[] datagram = codec.encode(one);
    setManyEmptyElements(datagram, Arrays.mismatch(datagram, codec.encode(two)));
    assertEquals(Optional.empty(), codec.decode(datagram));
  }

  private byte[] withEmptyElements(List<RequestFingerprint> requests) {
    byte[] datagram = codec.encode(new PeerMessage.EngineEndNotice(ENGINE, 17, requests));
    byte[] other = codec.encode(notice(requests.size() + 1));
    setManyEmptyElements(datagram, Arrays.mismatch(datagram, other));
    return datagram;
  }

  /** Sets the length of the elements, which precedes their number, to 0. */
  private static void setManyEmptyElements(byte[] datagram, int numberIndex) {
    Arrays.fill(datagram, numberIndex - 2, numberIndex, (byte) 0);
    Arrays.fill(datagram, numberIndex, numberIndex + 2, (byte) 0x70);
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
