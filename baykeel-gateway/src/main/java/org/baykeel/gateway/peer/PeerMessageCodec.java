package org.baykeel.gateway.peer;

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

/** Messages between nodes as SBE. Not thread-safe: buffers are reused. */
public final class PeerMessageCodec {
  private static final int MAX_MESSAGE_BYTES = 512;

  private final UnsafeBuffer buffer = new UnsafeBuffer(new byte[MAX_MESSAGE_BYTES]);
  private final MessageHeaderEncoder headerEncoder = new MessageHeaderEncoder();
  private final MessageHeaderDecoder headerDecoder = new MessageHeaderDecoder();
  private final NodeAnnouncementEncoder announcementEncoder = new NodeAnnouncementEncoder();
  private final EngineSuspicionNoticeEncoder suspicionEncoder = new EngineSuspicionNoticeEncoder();
  private final EngineSuspicionNoticeDecoder suspicionDecoder = new EngineSuspicionNoticeDecoder();
  private final HolderAnnouncementEncoder holderAnnouncementEncoder =
      new HolderAnnouncementEncoder();
  private final HolderQueryEncoder holderQueryEncoder = new HolderQueryEncoder();
  private final HolderReplyEncoder holderReplyEncoder = new HolderReplyEncoder();

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
    if (message instanceof PeerMessage.HolderAnnouncement announcement) {
      return holderAnnouncementEncoder
          .wrapAndApplyHeader(buffer, 0, headerEncoder)
          .program(announcement.program().value())
          .encodedLength();
    }
    if (message instanceof PeerMessage.HolderQuery query) {
      return holderQueryEncoder
          .wrapAndApplyHeader(buffer, 0, headerEncoder)
          .queryId(query.queryId())
          .program(query.program().value())
          .encodedLength();
    }
    if (message instanceof PeerMessage.HolderReply reply) {
      return holderReplyEncoder
          .wrapAndApplyHeader(buffer, 0, headerEncoder)
          .queryId(reply.queryId())
          .holder(reply.holder().map(PeerAddress::toString).orElse(""))
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
    try {
      return decodeBody(received);
    } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private Optional<PeerMessage> decodeBody(UnsafeBuffer received) {
    return switch (headerDecoder.templateId()) {
      case NodeAnnouncementDecoder.TEMPLATE_ID -> Optional.of(new PeerMessage.NodeAnnouncement());
      case EngineSuspicionNoticeDecoder.TEMPLATE_ID -> {
        suspicionDecoder.wrapAndApplyHeader(received, 0, headerDecoder);
        EngineId engineId = new EngineId(suspicionDecoder.engineId());
        yield Optional.of(new PeerMessage.EngineSuspicion(engineId));
      }
      case HolderAnnouncementDecoder.TEMPLATE_ID -> {
        HolderAnnouncementDecoder decoder = new HolderAnnouncementDecoder();
        decoder.wrapAndApplyHeader(received, 0, headerDecoder);
        yield Optional.of(new PeerMessage.HolderAnnouncement(new ProgramId(decoder.program())));
      }
      case HolderQueryDecoder.TEMPLATE_ID -> {
        HolderQueryDecoder decoder = new HolderQueryDecoder();
        decoder.wrapAndApplyHeader(received, 0, headerDecoder);
        yield Optional.of(
            new PeerMessage.HolderQuery(decoder.queryId(), new ProgramId(decoder.program())));
      }
      case HolderReplyDecoder.TEMPLATE_ID -> {
        HolderReplyDecoder decoder = new HolderReplyDecoder();
        decoder.wrapAndApplyHeader(received, 0, headerDecoder);
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
