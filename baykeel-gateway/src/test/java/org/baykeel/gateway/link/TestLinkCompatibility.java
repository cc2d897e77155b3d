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

/**
 * Checks the compatibility of connections with nodes of the version in production: messages
 * recorded from it are decoded, and encoded messages can be read by it.
 */
class TestLinkCompatibility {
  private static final RecordedBytes RECORDED = new RecordedBytes("link.hex");

  private static final Map<String, Class<? extends LinkMessage>> KINDS =
      Map.of(
          "store-request", LinkMessage.StoreRequest.class,
          "store-poll", LinkMessage.StoreRequest.class,
          "store-answered", LinkMessage.StoreResponse.class,
          "store-lost", LinkMessage.StoreResponse.class,
          "store-not-sent", LinkMessage.StoreResponse.class,
          "grant-request", LinkMessage.GrantRequest.class,
          "grant-answer", LinkMessage.GrantResponse.class,
          "grant-unknown", LinkMessage.GrantResponse.class,
          "turns-request", LinkMessage.TurnsRequest.class,
          "turns-answer", LinkMessage.TurnsResponse.class);

  static Stream<String> names() {
    return RECORDED.all().keySet().stream();
  }

  @Test
  void coversEachRecordedMessage() {
    assertEquals(KINDS.keySet(), RECORDED.all().keySet());
  }

  /** A decoded message that encodes to the recorded bytes again was decoded completely. */
  @ParameterizedTest
  @MethodSource("names")
  void decodesRecordedMessagesAndEncodesThemAlike(String name) {
    LinkMessage decoded = LinkCodec.decode(RECORDED.named(name));
    assertEquals(KINDS.get(name), decoded.getClass());
    RecordedBytes.assertReadable(RECORDED.named(name), LinkCodec.encode(decoded));
  }

  @ParameterizedTest
  @MethodSource("names")
  void ignoresFieldsOfALaterVersion(String name) {
    byte[] recorded = RECORDED.named(name);
    LinkMessage decoded = LinkCodec.decode(RecordedBytes.withLaterFields(recorded, 5));
    RecordedBytes.assertReadable(recorded, LinkCodec.encode(decoded));
  }

  private static void receive(EmbeddedChannel channel, byte[] message) {
    byte[] length = ByteBuffer.allocate(Integer.BYTES).putInt(message.length).array();
    channel.writeInbound(Unpooled.wrappedBuffer(length, message));
  }

  @Test
  void ignoresAMessageOfALaterVersionAndKeepsTheConnection() {
    List<LinkMessage> received = new ArrayList<>();
    EmbeddedChannel channel = new EmbeddedChannel();
    LinkChannel.prepare(channel.pipeline(), received::add, () -> {});
    receive(channel, RecordedBytes.withUnknownTemplate(RECORDED.named("grant-answer")));
    receive(channel, RECORDED.named("grant-request"));
    assertTrue(channel.isOpen());
    assertEquals(List.of(LinkCodec.decode(RECORDED.named("grant-request"))), received);
  }

  @Test
  void closesTheConnectionOnInvalidBytes() {
    List<LinkMessage> received = new ArrayList<>();
    EmbeddedChannel channel = new EmbeddedChannel();
    LinkChannel.prepare(channel.pipeline(), received::add, () -> {});
    receive(channel, new byte[64]);
    assertEquals(List.of(), received);
    assertEquals(false, channel.isOpen());
  }
}
