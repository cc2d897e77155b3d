package org.baykeel.gateway.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class TestLinkCodec {
  private static final int TRIALS = 5_000;

  private static final LinkMessage REQUEST =
      new LinkMessage.StoreRequest(
          7, new StoreCall(StoreCall.Method.POST, "/t", new byte[] {1, 2, 3}, 1_000, false));
  private static final LinkMessage REPLY =
      new LinkMessage.StoreResponse(7, new StoreReply.Answered(200, new byte[] {4, 5}));

  private static final List<LinkMessage> MESSAGES =
      List.of(
          REQUEST,
          REPLY,
          new LinkMessage.GrantRequest(1, new ProgramId("p")),
          new LinkMessage.GrantResponse(1, Optional.of(new GrantTransfer(5, 10, 3, 4))),
          new LinkMessage.TurnsRequest(1, "t"),
          new LinkMessage.TurnsResponse(
              1, List.of(new StoredTurn("t", List.of("s"), new byte[3], new byte[4]))));

  static Stream<byte[]> invalidMessages() {
    byte[] otherSchema = LinkCodec.encode(REPLY);
    otherSchema[4] ^= 1;
    byte[] unknownKind = LinkCodec.encode(REPLY);
    unknownKind[2] = 60;
    byte[] request = LinkCodec.encode(REQUEST);
    LinkMessage relative =
        new LinkMessage.StoreRequest(
            1, new StoreCall(StoreCall.Method.GET, "elsewhere", null, 1_000, false));
    return Stream.of(
        new byte[0],
        new byte[5],
        new byte[64],
        otherSchema,
        unknownKind,
        Arrays.copyOf(request, request.length - 2),
        LinkCodec.encode(relative),
        LinkCodec.encode(
            new LinkMessage.GrantResponse(1, Optional.of(new GrantTransfer(-5, 10, 3, 4)))),
        LinkCodec.encode(
            new LinkMessage.GrantResponse(1, Optional.of(new GrantTransfer(50, 10, 3, 4)))));
  }

  @ParameterizedTest
  @MethodSource("invalidMessages")
  void rejectsInvalidMessages(byte[] bytes) {
    assertThrows(LinkCodec.MalformedMessageException.class, () -> LinkCodec.decode(bytes));
  }

  @Test
  void corruptedBytesCauseNoOtherException() {
    Random random = new Random(1);
    for (int i = 0; i < TRIALS; i++) {
      byte[] bytes = LinkCodec.encode(MESSAGES.get(i % MESSAGES.size()));
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      try {
        LinkCodec.decode(bytes);
      } catch (LinkCodec.MalformedMessageException e) {
        // Expected for corrupted bytes.
      }
    }
  }

  @Test
  void capsTheTimeLimitOfAStoreCall() {
    LinkMessage endless =
        new LinkMessage.StoreRequest(
            1, new StoreCall(StoreCall.Method.GET, "/t", null, 4_000_000_000L, true));
    LinkMessage.StoreRequest decoded =
        (LinkMessage.StoreRequest) LinkCodec.decode(LinkCodec.encode(endless));
    assertEquals(30_000, decoded.call().timeoutMillis());
  }
}
