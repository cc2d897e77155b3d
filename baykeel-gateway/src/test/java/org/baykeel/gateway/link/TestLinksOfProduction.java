package org.baykeel.gateway.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.baykeel.gateway.testing.RecordedBytes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Connections between nodes of this build and of the one in production. */
class TestLinksOfProduction {
  private static final RecordedBytes RECORDED = new RecordedBytes("link.hex");

  private static final Map<String, Class<? extends LinkMessage>> KINDS =
      Map.of(
          "store-request", LinkMessage.StoreRequest.class,
          "store-poll", LinkMessage.StoreRequest.class,
          "store-answered", LinkMessage.StoreAnswer.class,
          "store-lost", LinkMessage.StoreAnswer.class,
          "store-not-sent", LinkMessage.StoreAnswer.class,
          "grant-request", LinkMessage.GrantRequest.class,
          "grant-answer", LinkMessage.GrantAnswer.class,
          "grant-unknown", LinkMessage.GrantAnswer.class,
          "turns-request", LinkMessage.TurnsRequest.class,
          "turns-answer", LinkMessage.TurnsAnswer.class);

  static Stream<String> names() {
    return RECORDED.all().keySet().stream();
  }

  @Test
  void eachRecordedMessageIsAsserted() {
    assertEquals(KINDS.keySet(), RECORDED.all().keySet());
  }

  /** Encoded again it has all that it had, so all of it was understood. */
  @ParameterizedTest
  @MethodSource("names")
  void whatProductionWritesIsUnderstoodAndWhatIsWrittenIsReadThere(String name) {
    LinkMessage understood = LinkCodec.decode(RECORDED.named(name));
    assertEquals(KINDS.get(name), understood.getClass());
    RecordedBytes.assertReadable(RECORDED.named(name), LinkCodec.encode(understood));
  }

  @ParameterizedTest
  @MethodSource("names")
  void laterFieldsArePassedOver(String name) {
    byte[] recorded = RECORDED.named(name);
    LinkMessage understood = LinkCodec.decode(RecordedBytes.withLaterFields(recorded, 5));
    RecordedBytes.assertReadable(recorded, LinkCodec.encode(understood));
  }

  private static void receive(EmbeddedChannel channel, byte[] message) {
    byte[] length = ByteBuffer.allocate(Integer.BYTES).putInt(message.length).array();
    channel.writeInbound(Unpooled.wrappedBuffer(length, message));
  }

  @Test
  void aMessageOfALaterKindIsPassedOverAndTheConnectionStays() {
    List<LinkMessage> heard = new ArrayList<>();
    EmbeddedChannel channel = new EmbeddedChannel();
    LinkChannel.prepare(channel.pipeline(), heard::add, () -> {});
    receive(channel, RecordedBytes.withUnknownTemplate(RECORDED.named("grant-answer")));
    receive(channel, RECORDED.named("grant-request"));
    assertTrue(channel.isOpen());
    assertEquals(List.of(LinkCodec.decode(RECORDED.named("grant-request"))), heard);
  }

  @Test
  void bytesThatAreNoMessageEndTheConnection() {
    List<LinkMessage> heard = new ArrayList<>();
    EmbeddedChannel channel = new EmbeddedChannel();
    LinkChannel.prepare(channel.pipeline(), heard::add, () -> {});
    receive(channel, new byte[64]);
    assertEquals(List.of(), heard);
    assertEquals(false, channel.isOpen());
  }
}
