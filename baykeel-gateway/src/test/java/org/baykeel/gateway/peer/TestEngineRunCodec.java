package org.baykeel.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.program.RequestFingerprint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class TestEngineRunCodec {
  private static final EngineIncarnation ENGINE =
      new EngineIncarnation(new EngineId("i-7f3a91c2ab"), 1_796_277_000_123L);

  private final PeerMessageCodec codec = new PeerMessageCodec();

  private static PeerMessage.EngineRunNotice notice(
      EngineIncarnation engine, RunPhase phase, long millis) {
    return new PeerMessage.EngineRunNotice(
        -3, new RequestFingerprint(-2), engine, phase, millis, millis);
  }

  @ParameterizedTest
  @EnumSource
  void noticeOfEachPhaseIsDecodedAsEncoded(RunPhase phase) {
    PeerMessage notice = notice(ENGINE, phase, 17);
    byte[] datagram = codec.encode(notice);
    assertEquals(Optional.of(notice), codec.decode(datagram));
    assertEquals(55, datagram.length);
  }

  @Test
  void claimNamesNoEngine() {
    PeerMessage notice = notice(EngineIncarnation.NONE, RunPhase.CLAIMED, 0);
    assertEquals(Optional.of(notice), codec.decode(codec.encode(notice)));
  }

  /** The lengths are those of docs/CAPACITY.md. */
  @Test
  void noticeOfAClosedRunAndQueryAreShort() {
    byte[] closed = codec.encode(notice(EngineIncarnation.NONE, RunPhase.COMPLETED, 0));
    assertEquals(43, closed.length);
    PeerMessage query = new PeerMessage.EngineRunQuery(-3);
    byte[] datagram = codec.encode(query);
    assertEquals(Optional.of(query), codec.decode(datagram));
    assertEquals(16, datagram.length);
  }

  @Test
  void longestEngineIdentifierFitsIntoOneDatagram() {
    EngineIncarnation longest = new EngineIncarnation(new EngineId("e".repeat(256)), 0);
    byte[] datagram = codec.encode(notice(longest, RunPhase.OPEN, 1));
    assertTrue(datagram.length <= PeerMessageCodec.MAX_MESSAGE_BYTES);
  }

  @Test
  void timesThatDoNotFitAreBounded() {
    byte[] datagram = codec.encode(notice(ENGINE, RunPhase.OPEN, Long.MAX_VALUE));
    assertEquals(
        Optional.of(notice(ENGINE, RunPhase.OPEN, Integer.MAX_VALUE)), codec.decode(datagram));
  }

  @Test
  void phaseOfALaterVersionIsIgnored() {
    assertEquals(Optional.empty(), RunPhase.ofCode(RunPhase.values().length + 1));
  }
}
