package org.baykeel.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.tenancy.ConfigurationProof;
import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.tenancy.TenantId;
import org.baykeel.gateway.testing.RecordedBytes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks the compatibility of datagrams with nodes of the version in production: datagrams recorded
 * from it are decoded, and encoded datagrams can be read by it.
 */
class TestPeerMessageCompatibility {
  private static final int TRIALS = 20_000;
  private static final RecordedBytes RECORDED = new RecordedBytes("peer.hex");
  private static final ProgramId PROGRAM = new ProgramId("t/3fa81c");

  private static final Map<String, PeerMessage> MESSAGES =
      Map.of(
          "announcement",
          new PeerMessage.NodeAnnouncement("hall"),
          "suspicion",
          new PeerMessage.EngineSuspicion(new EngineId("i-7f3a91c2")),
          "holder-announcement",
          new PeerMessage.HolderAnnouncement(PROGRAM),
          "holder-query",
          new PeerMessage.HolderQuery(81, PROGRAM),
          "holder-reply",
          new PeerMessage.HolderReply(81, Optional.of(new PeerAddress("10.1.0.38", 7380))),
          "holder-reply-none",
          new PeerMessage.HolderReply(82, Optional.empty()),
          "limit-request",
          new PeerMessage.LimitTokenRequest(91, 4, true, -77, new TenantId("acme")),
          "limit-reply",
          new PeerMessage.LimitTokenReply(
              91,
              LimitTokenOutcome.GIVEN,
              3,
              true,
              250,
              1.5f,
              LimitUse.UNKNOWN,
              Optional.of(new ConfigurationProof(17, 1_700_000_000_123L))));

  private final PeerMessageCodec codec = new PeerMessageCodec();

  static Stream<String> names() {
    return RECORDED.all().keySet().stream();
  }

  @Test
  void coversEachRecordedMessage() {
    assertEquals(MESSAGES.keySet(), RECORDED.all().keySet());
  }

  @ParameterizedTest
  @MethodSource("names")
  void decodesRecordedMessages(String name) {
    assertEquals(Optional.of(MESSAGES.get(name)), codec.decode(RECORDED.named(name)));
  }

  @ParameterizedTest
  @MethodSource("names")
  void encodesAsTheReleasedVersionReads(String name) {
    RecordedBytes.assertReadable(RECORDED.named(name), codec.encode(MESSAGES.get(name)));
  }

  @ParameterizedTest
  @MethodSource("names")
  void ignoresFieldsOfALaterVersion(String name) {
    byte[] later = RecordedBytes.withLaterFields(codec.encode(MESSAGES.get(name)), 5);
    assertEquals(Optional.of(MESSAGES.get(name)), codec.decode(later));
  }

  /** Guards against bytes of another writer that end the reader of the datagrams. */
  @Test
  void corruptedBytesCauseNoException() {
    Random random = new Random(1);
    List<byte[]> recorded = List.copyOf(RECORDED.all().values());
    for (int i = 0; i < TRIALS; i++) {
      byte[] bytes = recorded.get(random.nextInt(recorded.size())).clone();
      for (int change = random.nextInt(4); change >= 0; change--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      }
      byte[] cut = Arrays.copyOf(bytes, random.nextInt(2 * bytes.length));
      assertDoesNotThrow(() -> codec.decode(random.nextBoolean() ? bytes : cut));
    }
  }

  @ParameterizedTest
  @MethodSource("names")
  void ignoresMessagesOfALaterVersion(String name) {
    byte[] unknown = RecordedBytes.withUnknownTemplate(RECORDED.named(name));
    assertEquals(Optional.empty(), codec.decode(unknown));
  }
}
