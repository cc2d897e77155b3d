package org.baykeel.gateway.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Random;
import java.util.stream.Stream;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class TestRelayCodec {
  private static final int TRIALS = 5_000;

  private static final RelayMessage REQUEST =
      new RelayMessage.Request(
          7, new StoreCall(StoreCall.Method.POST, "/t", new byte[] {1, 2, 3}, 1_000, false));
  private static final RelayMessage REPLY =
      new RelayMessage.Reply(7, new StoreReply.Answered(200, new byte[] {4, 5}));

  static Stream<byte[]> nonsense() {
    byte[] otherSchema = RelayCodec.encode(REPLY);
    otherSchema[4] ^= 1;
    byte[] otherMessage = RelayCodec.encode(REPLY);
    otherMessage[2] = 60;
    byte[] cut = RelayCodec.encode(REQUEST);
    RelayMessage relative =
        new RelayMessage.Request(
            1, new StoreCall(StoreCall.Method.GET, "elsewhere", null, 1_000, false));
    return Stream.of(
        new byte[0],
        new byte[5],
        new byte[64],
        otherSchema,
        otherMessage,
        Arrays.copyOf(cut, cut.length - 2),
        RelayCodec.encode(relative));
  }

  @ParameterizedTest
  @MethodSource("nonsense")
  void bytesThatAreNoMessageAreToldApart(byte[] bytes) {
    assertThrows(RelayCodec.MalformedMessageException.class, () -> RelayCodec.decode(bytes));
  }

  @Test
  void damagedBytesNeverDoMoreThanFail() {
    Random random = new Random(1);
    for (int i = 0; i < TRIALS; i++) {
      byte[] bytes = RelayCodec.encode(i % 2 == 0 ? REQUEST : REPLY);
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      try {
        RelayCodec.decode(bytes);
      } catch (RelayCodec.MalformedMessageException e) {
        // What damaged bytes are expected to do.
      }
    }
  }

  @Test
  void aTimeOutIsBounded() {
    RelayMessage endless =
        new RelayMessage.Request(
            1, new StoreCall(StoreCall.Method.GET, "/t", null, 4_000_000_000L, true));
    RelayMessage.Request decoded =
        (RelayMessage.Request) RelayCodec.decode(RelayCodec.encode(endless));
    assertEquals(30_000, decoded.call().timeoutMillis());
  }
}
