package org.baykeel.gateway.peer;

import java.util.Optional;
import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.protocol.generated.EngineSuspicionNoticeDecoder;
import org.baykeel.protocol.generated.EngineSuspicionNoticeEncoder;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;
import org.baykeel.protocol.generated.NodeAnnouncementDecoder;
import org.baykeel.protocol.generated.NodeAnnouncementEncoder;

/** Messages between nodes as SBE. Not thread-safe: buffers are reused. */
public final class PeerMessageCodec {
  private static final int MAX_MESSAGE_BYTES = 512;

  private final UnsafeBuffer buffer = new UnsafeBuffer(new byte[MAX_MESSAGE_BYTES]);
  private final MessageHeaderEncoder headerEncoder = new MessageHeaderEncoder();
  private final MessageHeaderDecoder headerDecoder = new MessageHeaderDecoder();
  private final NodeAnnouncementEncoder announcementEncoder = new NodeAnnouncementEncoder();
  private final EngineSuspicionNoticeEncoder suspicionEncoder = new EngineSuspicionNoticeEncoder();
  private final EngineSuspicionNoticeDecoder suspicionDecoder = new EngineSuspicionNoticeDecoder();

  /**
   * The bytes of a message.
   *
   * @param message a message
   */
  public byte[] encode(PeerMessage message) {
    int length = MessageHeaderEncoder.ENCODED_LENGTH + encodeBody(message);
    byte[] bytes = new byte[length];
    buffer.getBytes(0, bytes);
    return bytes;
  }

  private int encodeBody(PeerMessage message) {
    if (message instanceof PeerMessage.EngineSuspicion suspicion) {
      return suspicionEncoder
          .wrapAndApplyHeader(buffer, 0, headerEncoder)
          .engineId(suspicion.engineId().value())
          .encodedLength();
    }
    return announcementEncoder.wrapAndApplyHeader(buffer, 0, headerEncoder).encodedLength();
  }

  /**
   * Reads a message.
   *
   * @param datagram bytes that may be anything
   * @return the message; nothing if the bytes are none, or one of a later version
   */
  public Optional<PeerMessage> decode(byte[] datagram) {
    if (datagram.length < MessageHeaderDecoder.ENCODED_LENGTH) {
      return Optional.empty();
    }
    UnsafeBuffer received = new UnsafeBuffer(datagram);
    headerDecoder.wrap(received, 0);
    if (headerDecoder.schemaId() != MessageHeaderDecoder.SCHEMA_ID) {
      return Optional.empty();
    }
    return switch (headerDecoder.templateId()) {
      case NodeAnnouncementDecoder.TEMPLATE_ID -> Optional.of(new PeerMessage.NodeAnnouncement());
      case EngineSuspicionNoticeDecoder.TEMPLATE_ID -> decodeSuspicion(received);
      default -> Optional.empty();
    };
  }

  private Optional<PeerMessage> decodeSuspicion(UnsafeBuffer received) {
    try {
      suspicionDecoder.wrapAndApplyHeader(received, 0, headerDecoder);
      return Optional.of(
          new PeerMessage.EngineSuspicion(new EngineId(suspicionDecoder.engineId())));
    } catch (IndexOutOfBoundsException e) {
      return Optional.empty();
    }
  }
}
