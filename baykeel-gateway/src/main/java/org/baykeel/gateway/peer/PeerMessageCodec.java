package org.baykeel.gateway.peer;

import java.util.Arrays;
import java.util.Optional;
import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.tenancy.ConfigurationProof;
import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.tenancy.TenantId;
import org.baykeel.protocol.generated.EngineEndNoticeDecoder;
import org.baykeel.protocol.generated.EngineEndWithdrawalDecoder;
import org.baykeel.protocol.generated.EngineLoadNoticeDecoder;
import org.baykeel.protocol.generated.EngineRunNoticeDecoder;
import org.baykeel.protocol.generated.EngineRunQueryDecoder;
import org.baykeel.protocol.generated.EngineSuspicionNoticeDecoder;
import org.baykeel.protocol.generated.EngineSuspicionNoticeEncoder;
import org.baykeel.protocol.generated.HolderAnnouncementDecoder;
import org.baykeel.protocol.generated.HolderAnnouncementEncoder;
import org.baykeel.protocol.generated.HolderQueryDecoder;
import org.baykeel.protocol.generated.HolderQueryEncoder;
import org.baykeel.protocol.generated.HolderReplyDecoder;
import org.baykeel.protocol.generated.HolderReplyEncoder;
import org.baykeel.protocol.generated.LimitTokenReplyDecoder;
import org.baykeel.protocol.generated.LimitTokenReplyEncoder;
import org.baykeel.protocol.generated.LimitTokenRequestDecoder;
import org.baykeel.protocol.generated.LimitTokenRequestEncoder;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;
import org.baykeel.protocol.generated.NodeAnnouncementDecoder;
import org.baykeel.protocol.generated.NodeAnnouncementEncoder;
import org.baykeel.protocol.generated.ReachabilityProbeDecoder;
import org.baykeel.protocol.generated.ReachabilityReplyDecoder;
import org.baykeel.protocol.generated.RequestClearanceDecoder;
import org.baykeel.protocol.generated.StreamVersionNoticeDecoder;
import org.baykeel.protocol.generated.StreamVersionQueryDecoder;
import org.baykeel.protocol.generated.StreamVersionReplyDecoder;

/**
 * Encodes and decodes messages between nodes as SBE. Buffers and encoders are created per message:
 * messages are few, and their classes are thus loaded with the first message instead of at startup.
 */
public final class PeerMessageCodec {
  /** Well below the payload of one link-layer frame, so that a datagram is not fragmented. */
  static final int MAX_MESSAGE_BYTES = 1_024;

  private static final long MAX_RETRY_MILLIS = 3_600_000;

  /**
   * Encodes a message.
   *
   * @param message the message
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
    if (message instanceof PeerMessage.EngineLoadNotice notice) {
      return EngineLoadNoticeCodec.encode(notice, buffer, header);
    }
    if (message instanceof PeerMessage.StreamVersionNotice notice) {
      return StreamVersionCodec.encode(notice, buffer, header);
    }
    if (message instanceof PeerMessage.StreamVersionQuery query) {
      return StreamVersionCodec.encode(query, buffer, header);
    }
    if (message instanceof PeerMessage.StreamVersionReply reply) {
      return StreamVersionCodec.encode(reply, buffer, header);
    }
    if (message instanceof PeerMessage.EngineEndNotice notice) {
      return EngineEndCodec.encode(notice, buffer, header);
    }
    if (message instanceof PeerMessage.EngineEndWithdrawal withdrawal) {
      return EngineEndCodec.encode(withdrawal, buffer, header);
    }
    if (message instanceof PeerMessage.RequestClearance clearance) {
      return EngineEndCodec.encode(clearance, buffer, header);
    }
    if (message instanceof PeerMessage.EngineRunNotice notice) {
      return EngineRunCodec.encode(notice, buffer, header);
    }
    if (message instanceof PeerMessage.EngineRunQuery query) {
      return EngineRunCodec.encode(query, buffer, header);
    }
    if (message instanceof PeerMessage.ReachabilityProbe probe) {
      return ReachabilityCodec.encode(probe, buffer, header);
    }
    if (message instanceof PeerMessage.ReachabilityReply reply) {
      return ReachabilityCodec.encode(reply, buffer, header);
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
    if (message instanceof PeerMessage.LimitTokenRequest request) {
      return encode(request, buffer, header);
    }
    if (message instanceof PeerMessage.LimitTokenReply reply) {
      return encode(reply, buffer, header);
    }
    return new NodeAnnouncementEncoder()
        .wrapAndApplyHeader(buffer, 0, header)
        .zone(((PeerMessage.NodeAnnouncement) message).zone())
        .encodedLength();
  }

  private static int encode(
      PeerMessage.LimitTokenRequest request, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    return new LimitTokenRequestEncoder()
        .wrapAndApplyHeader(buffer, 0, header)
        .questionId(request.correlationId())
        .wanted(request.wanted())
        .opening((short) (request.firstTurn() ? 1 : 0))
        .programHash(request.programHash())
        .tenant(request.tenant().value())
        .encodedLength();
  }

  private static int encode(
      PeerMessage.LimitTokenReply reply, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    return new LimitTokenReplyEncoder()
        .wrapAndApplyHeader(buffer, 0, header)
        .questionId(reply.correlationId())
        .outcome((short) reply.outcome().code())
        .tokens(reply.tokens())
        .openingsAllowed((short) (reply.firstTurnsAllowed() ? 1 : 0))
        .retryMillis(Math.min(MAX_RETRY_MILLIS, reply.retryMillis()))
        .left(reply.remaining())
        .proven((short) (reply.proof().isPresent() ? 1 : 0))
        .configurationVersion(reply.proof().map(ConfigurationProof::version).orElse(0L))
        .provenStoreMillis(reply.proof().map(ConfigurationProof::storeMillis).orElse(0L))
        .limitUse((float) reply.use().multiple())
        .encodedLength();
  }

  /**
   * Decodes a message.
   *
   * @param datagram the received bytes, which are not trusted
   * @return the message, or empty if the bytes are malformed or a message of a later version
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

  private static Optional<ConfigurationProof> proof(LimitTokenReplyDecoder decoder) {
    if (decoder.proven() == 0) {
      return Optional.empty();
    }
    return Optional.of(
        new ConfigurationProof(decoder.configurationVersion(), decoder.provenStoreMillis()));
  }

  private static Optional<PeerMessage> decodeBody(
      MessageHeaderDecoder header, UnsafeBuffer received) {
    return switch (header.templateId()) {
      case NodeAnnouncementDecoder.TEMPLATE_ID -> {
        NodeAnnouncementDecoder decoder = new NodeAnnouncementDecoder();
        decoder.wrapAndApplyHeader(received, 0, header);
        yield Optional.of(new PeerMessage.NodeAnnouncement(decoder.zone()));
      }
      case EngineSuspicionNoticeDecoder.TEMPLATE_ID -> {
        EngineSuspicionNoticeDecoder decoder = new EngineSuspicionNoticeDecoder();
        decoder.wrapAndApplyHeader(received, 0, header);
        yield Optional.of(new PeerMessage.EngineSuspicion(new EngineId(decoder.engineId())));
      }
      case EngineLoadNoticeDecoder.TEMPLATE_ID ->
          Optional.of(EngineLoadNoticeCodec.decode(received, header));
      case StreamVersionNoticeDecoder.TEMPLATE_ID ->
          Optional.of(StreamVersionCodec.decodeNotice(received, header));
      case StreamVersionQueryDecoder.TEMPLATE_ID ->
          Optional.of(StreamVersionCodec.decodeQuery(received, header));
      case StreamVersionReplyDecoder.TEMPLATE_ID ->
          StreamVersionCodec.decodeReply(received, header);
      case EngineEndNoticeDecoder.TEMPLATE_ID ->
          Optional.of(EngineEndCodec.decodeNotice(received, header));
      case EngineEndWithdrawalDecoder.TEMPLATE_ID ->
          Optional.of(EngineEndCodec.decodeWithdrawal(received, header));
      case RequestClearanceDecoder.TEMPLATE_ID ->
          Optional.of(EngineEndCodec.decodeClearance(received, header));
      case EngineRunNoticeDecoder.TEMPLATE_ID -> EngineRunCodec.decode(received, header);
      case EngineRunQueryDecoder.TEMPLATE_ID ->
          Optional.of(EngineRunCodec.decodeQuery(received, header));
      case ReachabilityProbeDecoder.TEMPLATE_ID ->
          Optional.of(ReachabilityCodec.decodeProbe(received, header));
      case ReachabilityReplyDecoder.TEMPLATE_ID ->
          Optional.of(ReachabilityCodec.decodeReply(received, header));
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
      case HolderReplyDecoder.TEMPLATE_ID -> Optional.of(decodeHolderReply(received, header));
      case LimitTokenRequestDecoder.TEMPLATE_ID -> {
        LimitTokenRequestDecoder decoder = new LimitTokenRequestDecoder();
        decoder.wrapAndApplyHeader(received, 0, header);
        yield Optional.of(
            new PeerMessage.LimitTokenRequest(
                decoder.questionId(),
                decoder.wanted(),
                decoder.opening() != 0,
                decoder.programHash(),
                new TenantId(decoder.tenant())));
      }
      case LimitTokenReplyDecoder.TEMPLATE_ID -> {
        LimitTokenReplyDecoder decoder = new LimitTokenReplyDecoder();
        decoder.wrapAndApplyHeader(received, 0, header);
        yield LimitTokenOutcome.ofCode(decoder.outcome())
            .map(
                outcome ->
                    new PeerMessage.LimitTokenReply(
                        decoder.questionId(),
                        outcome,
                        decoder.tokens(),
                        decoder.openingsAllowed() != 0,
                        decoder.retryMillis(),
                        decoder.left(),
                        LimitUse.ofPeer(decoder.limitUse()),
                        proof(decoder)));
      }
      default -> Optional.empty();
    };
  }

  private static PeerMessage decodeHolderReply(UnsafeBuffer received, MessageHeaderDecoder header) {
    HolderReplyDecoder decoder = new HolderReplyDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    long queryId = decoder.queryId();
    String holder = decoder.holder();
    return new PeerMessage.HolderReply(
        queryId, holder.isEmpty() ? Optional.empty() : Optional.of(PeerAddress.parse(holder)));
  }
}
