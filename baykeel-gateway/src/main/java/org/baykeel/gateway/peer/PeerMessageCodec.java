package org.baykeel.gateway.peer;

import java.util.Arrays;
import java.util.Optional;
import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.protocol.generated.EngineSuspicionNoticeDecoder;
import org.baykeel.protocol.generated.EngineSuspicionNoticeEncoder;
import org.baykeel.protocol.generated.HolderAnnouncementDecoder;
import org.baykeel.protocol.generated.HolderAnnouncementEncoder;
import org.baykeel.protocol.generated.HolderQueryDecoder;
import org.baykeel.protocol.generated.HolderQueryEncoder;
import org.baykeel.protocol.generated.HolderReplyDecoder;
import org.baykeel.protocol.generated.HolderReplyEncoder;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;
import org.baykeel.protocol.generated.NodeAnnouncementDecoder;
import org.baykeel.protocol.generated.NodeAnnouncementEncoder;

/**
 * Messages between nodes as SBE. Buffers and encoders are made for each message: messages are few,
 * and the classes under them are then loaded with the first one and not with the node's start.
 */
public final class PeerMessageCodec {
  private static final int MAX_MESSAGE_BYTES = 512;

  /**
   * The bytes of a message.
   *
   * @param message a message
   */
  public byte[] encode(PeerMessage message) {
    UnsafeBuffer buffer = new UnsafeBuffer(new byte[MAX_MESSAGE_BYTES]);
    int length = MessageHeaderEncoder.ENCODED_LENGTH + encodeBody(message, buffer);
    return Arrays.copyOf(buffer.byteArray(), length);
  }

  private static int encodeBody(PeerMessage message, UnsafeBuffer buffer) {
    MessageHeaderEncoder header = new MessageHeaderEncoder();
    if (message instanceof PeerMessage.EngineSuspicion suspicion) {
      return new EngineSuspicionNoticeEncoder()
          .wrapAndApplyHeader(buffer, 0, header)
          .engineId(suspicion.engineId().value())
          .encodedLength();
    }
    if (message instanceof PeerMessage.HolderAnnouncement announcement) {
      return new HolderAnnouncementEncoder()
          .wrapAndApplyHeader(buffer, 0, header)
          .program(announcement.program().value())
          .encodedLength();
    }
    if (message instanceof PeerMessage.HolderQuery query) {
      return new HolderQueryEncoder()
          .wrapAndApplyHeader(buffer, 0, header)
          .queryId(query.queryId())
          .program(query.program().value())
          .encodedLength();
    }
    if (message instanceof PeerMessage.HolderReply reply) {
      return new HolderReplyEncoder()
          .wrapAndApplyHeader(buffer, 0, header)
          .queryId(reply.queryId())
          .holder(reply.holder().map(PeerAddress::toString).orElse(""))
          .encodedLength();
    }
    return new NodeAnnouncementEncoder().wrapAndApplyHeader(buffer, 0, header).encodedLength();
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
    MessageHeaderDecoder header = new MessageHeaderDecoder();
    header.wrap(received, 0);
    if (header.schemaId() != MessageHeaderDecoder.SCHEMA_ID) {
      return Optional.empty();
    }
    try {
      return decodeBody(header, received);
    } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<PeerMessage> decodeBody(
      MessageHeaderDecoder header, UnsafeBuffer received) {
    return switch (header.templateId()) {
      case NodeAnnouncementDecoder.TEMPLATE_ID -> Optional.of(new PeerMessage.NodeAnnouncement());
      case EngineSuspicionNoticeDecoder.TEMPLATE_ID -> {
        EngineSuspicionNoticeDecoder decoder = new EngineSuspicionNoticeDecoder();
        decoder.wrapAndApplyHeader(received, 0, header);
        yield Optional.of(new PeerMessage.EngineSuspicion(new EngineId(decoder.engineId())));
      }
      case HolderAnnouncementDecoder.TEMPLATE_ID -> {
        HolderAnnouncementDecoder decoder = new HolderAnnouncementDecoder();
        decoder.wrapAndApplyHeader(received, 0, header);
        yield Optional.of(new PeerMessage.HolderAnnouncement(new ProgramId(decoder.program())));
      }
      case HolderQueryDecoder.TEMPLATE_ID -> {
        HolderQueryDecoder decoder = new HolderQueryDecoder();
        decoder.wrapAndApplyHeader(received, 0, header);
        yield Optional.of(
            new PeerMessage.HolderQuery(decoder.queryId(), new ProgramId(decoder.program())));
      }
      case HolderReplyDecoder.TEMPLATE_ID -> {
        HolderReplyDecoder decoder = new HolderReplyDecoder();
        decoder.wrapAndApplyHeader(received, 0, header);
        long queryId = decoder.queryId();
        String holder = decoder.holder();
        Optional<PeerAddress> address =
            holder.isEmpty() ? Optional.empty() : Optional.of(PeerAddress.parse(holder));
        yield Optional.of(new PeerMessage.HolderReply(queryId, address));
      }
      default -> Optional.empty();
    };
  }
}
