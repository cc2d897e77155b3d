package org.baykeel.gateway.link;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agrona.DirectBuffer;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.MutableDirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.history.StoredTurnCodec;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;
import org.baykeel.protocol.generated.GrantAnswerDecoder;
import org.baykeel.protocol.generated.GrantAnswerEncoder;
import org.baykeel.protocol.generated.GrantRequestDecoder;
import org.baykeel.protocol.generated.GrantRequestEncoder;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;
import org.baykeel.protocol.generated.StoreRelayReplyDecoder;
import org.baykeel.protocol.generated.StoreRelayReplyEncoder;
import org.baykeel.protocol.generated.StoreRelayRequestDecoder;
import org.baykeel.protocol.generated.StoreRelayRequestEncoder;
import org.baykeel.protocol.generated.TurnsAnswerDecoder;
import org.baykeel.protocol.generated.TurnsAnswerEncoder;
import org.baykeel.protocol.generated.TurnsRequestDecoder;
import org.baykeel.protocol.generated.TurnsRequestEncoder;

/** Encodes and decodes messages on a connection between nodes as SBE. */
final class LinkCodec {
  private static final int MAX_TARGET_CHARACTERS = 4_096;
  private static final long MAX_TIMEOUT_MILLIS = 30_000;
  private static final int INITIAL_BUFFER_BYTES = 1_024;
  private static final byte[] NO_BODY = new byte[0];

  /** The outcome of a store call; the ordinal is sent, so the order must not change. */
  private enum Outcome {
    ANSWERED,
    NOT_SENT,
    LOST
  }

  /** Thrown when bytes are not a valid message. */
  static class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
      super(message);
    }
  }

  /** Thrown when a message is of an unknown kind, which a later version may have added. */
  static final class UnknownMessageException extends MalformedMessageException {
    private static final long serialVersionUID = 1L;

    UnknownMessageException(int templateId) {
      super("unknown template id " + templateId);
    }
  }

  private LinkCodec() {}

  static byte[] encode(LinkMessage message) {
    MutableDirectBuffer buffer = new ExpandableArrayBuffer(INITIAL_BUFFER_BYTES);
    int length = MessageHeaderEncoder.ENCODED_LENGTH + encodeBody(message, buffer);
    byte[] bytes = new byte[length];
    buffer.getBytes(0, bytes);
    return bytes;
  }

  private static int encodeBody(LinkMessage message, MutableDirectBuffer buffer) {
    if (message instanceof LinkMessage.StoreRequest request) {
      return encodeStoreRequest(request, buffer);
    }
    if (message instanceof LinkMessage.StoreResponse response) {
      return encodeStoreResponse(response, buffer);
    }
    if (message instanceof LinkMessage.GrantRequest request) {
      return new GrantRequestEncoder()
          .wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder())
          .correlationId(request.correlationId())
          .program(request.program().value())
          .encodedLength();
    }
    if (message instanceof LinkMessage.GrantResponse response) {
      return encodeGrantResponse(response, buffer);
    }
    if (message instanceof LinkMessage.TurnsRequest request) {
      return new TurnsRequestEncoder()
          .wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder())
          .correlationId(request.correlationId())
          .turnId(request.turnId())
          .encodedLength();
    }
    return encodeTurnsResponse((LinkMessage.TurnsResponse) message, buffer);
  }

  private static int encodeStoreRequest(
      LinkMessage.StoreRequest request, MutableDirectBuffer buffer) {
    StoreCall call = request.call();
    byte[] body = call.body() == null ? NO_BODY : call.body();
    return new StoreRelayRequestEncoder()
        .wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder())
        .correlationId(request.correlationId())
        .timeoutMillis(call.timeoutMillis())
        .longPoll((short) (call.longPoll() ? 1 : 0))
        .method(call.method().name())
        .target(call.target())
        .putBody(body, 0, body.length)
        .encodedLength();
  }

  private static int encodeStoreResponse(
      LinkMessage.StoreResponse response, MutableDirectBuffer buffer) {
    Outcome outcome;
    int status = 0;
    byte[] content;
    if (response.reply() instanceof StoreReply.Answered answered) {
      outcome = Outcome.ANSWERED;
      status = answered.status();
      content = answered.body();
    } else if (response.reply() instanceof StoreReply.Lost lost) {
      outcome = Outcome.LOST;
      content = lost.reason().getBytes(StandardCharsets.UTF_8);
    } else {
      outcome = Outcome.NOT_SENT;
      String reason = ((StoreReply.NotSent) response.reply()).reason();
      content = reason.getBytes(StandardCharsets.UTF_8);
    }
    return new StoreRelayReplyEncoder()
        .wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder())
        .correlationId(response.correlationId())
        .outcome((short) outcome.ordinal())
        .status(status)
        .putContent(content, 0, content.length)
        .encodedLength();
  }

  private static int encodeGrantResponse(
      LinkMessage.GrantResponse response, MutableDirectBuffer buffer) {
    GrantTransfer transfer = response.transfer().orElse(new GrantTransfer(0, 0, 0, 0));
    return new GrantAnswerEncoder()
        .wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder())
        .correlationId(response.correlationId())
        .known((short) (response.transfer().isPresent() ? 1 : 0))
        .tokens(transfer.tokens())
        .grantedTokens(transfer.grantedTokens())
        .grantId(transfer.grantId())
        .rowVersion(transfer.rowVersion())
        .encodedLength();
  }

  private static int encodeTurnsResponse(
      LinkMessage.TurnsResponse response, MutableDirectBuffer buffer) {
    TurnsAnswerEncoder encoder =
        new TurnsAnswerEncoder()
            .wrapAndApplyHeader(buffer, 0, new MessageHeaderEncoder())
            .correlationId(response.correlationId());
    TurnsAnswerEncoder.TurnsEncoder turns = encoder.turnsCount(response.turns().size());
    for (StoredTurn turn : response.turns()) {
      byte[] content = StoredTurnCodec.encodeWhole(turn);
      turns.next().turnId(turn.id()).putContent(content, 0, content.length);
    }
    return encoder.encodedLength();
  }

  /**
   * Decodes a message.
   *
   * @throws UnknownMessageException if the message is of an unknown kind
   * @throws MalformedMessageException if the bytes are not a valid message
   */
  static LinkMessage decode(byte[] bytes) {
    if (bytes.length < MessageHeaderDecoder.ENCODED_LENGTH) {
      throw new MalformedMessageException(
          bytes.length + " bytes are too short for a message header");
    }
    DirectBuffer buffer = new UnsafeBuffer(bytes);
    MessageHeaderDecoder header = new MessageHeaderDecoder().wrap(buffer, 0);
    if (header.schemaId() != MessageHeaderDecoder.SCHEMA_ID) {
      throw new MalformedMessageException("unknown schema id " + header.schemaId());
    }
    try {
      return decodeBody(buffer, header);
    } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
      throw new MalformedMessageException(String.valueOf(e.getMessage()));
    }
  }

  private static LinkMessage decodeBody(DirectBuffer buffer, MessageHeaderDecoder header) {
    return switch (header.templateId()) {
      case StoreRelayRequestDecoder.TEMPLATE_ID -> decodeStoreRequest(buffer, header);
      case StoreRelayReplyDecoder.TEMPLATE_ID -> decodeStoreResponse(buffer, header);
      case GrantRequestDecoder.TEMPLATE_ID -> {
        GrantRequestDecoder decoder =
            new GrantRequestDecoder().wrapAndApplyHeader(buffer, 0, header);
        yield new LinkMessage.GrantRequest(
            decoder.correlationId(), new ProgramId(decoder.program()));
      }
      case GrantAnswerDecoder.TEMPLATE_ID -> decodeGrantResponse(buffer, header);
      case TurnsRequestDecoder.TEMPLATE_ID -> {
        TurnsRequestDecoder decoder =
            new TurnsRequestDecoder().wrapAndApplyHeader(buffer, 0, header);
        yield new LinkMessage.TurnsRequest(decoder.correlationId(), decoder.turnId());
      }
      case TurnsAnswerDecoder.TEMPLATE_ID -> decodeTurnsResponse(buffer, header);
      default -> throw new UnknownMessageException(header.templateId());
    };
  }

  private static LinkMessage decodeStoreRequest(DirectBuffer buffer, MessageHeaderDecoder header) {
    StoreRelayRequestDecoder decoder =
        new StoreRelayRequestDecoder().wrapAndApplyHeader(buffer, 0, header);
    long timeoutMillis = Math.min(MAX_TIMEOUT_MILLIS, decoder.timeoutMillis());
    boolean longPoll = decoder.longPoll() != 0;
    StoreCall.Method method = StoreCall.Method.valueOf(decoder.method());
    String target = decoder.target();
    if (target.length() > MAX_TARGET_CHARACTERS || !target.startsWith("/")) {
      throw new MalformedMessageException(
          "store target is relative or too long: " + target.length() + " characters");
    }
    byte[] body = new byte[checkedLength(decoder.bodyLength(), buffer)];
    decoder.getBody(body, 0, body.length);
    byte[] callBody = method == StoreCall.Method.GET ? null : body;
    return new LinkMessage.StoreRequest(
        decoder.correlationId(), new StoreCall(method, target, callBody, timeoutMillis, longPoll));
  }

  private static LinkMessage decodeStoreResponse(DirectBuffer buffer, MessageHeaderDecoder header) {
    StoreRelayReplyDecoder decoder =
        new StoreRelayReplyDecoder().wrapAndApplyHeader(buffer, 0, header);
    int outcome = decoder.outcome();
    if (outcome >= Outcome.values().length) {
      throw new MalformedMessageException("unknown store outcome " + outcome);
    }
    int status = decoder.status();
    byte[] content = new byte[checkedLength(decoder.contentLength(), buffer)];
    decoder.getContent(content, 0, content.length);
    StoreReply reply =
        switch (Outcome.values()[outcome]) {
          case ANSWERED -> new StoreReply.Answered(status, content);
          case NOT_SENT -> new StoreReply.NotSent(new String(content, StandardCharsets.UTF_8));
          case LOST -> new StoreReply.Lost(new String(content, StandardCharsets.UTF_8));
        };
    return new LinkMessage.StoreResponse(decoder.correlationId(), reply);
  }

  private static LinkMessage decodeGrantResponse(DirectBuffer buffer, MessageHeaderDecoder header) {
    GrantAnswerDecoder decoder = new GrantAnswerDecoder().wrapAndApplyHeader(buffer, 0, header);
    if (decoder.known() == 0) {
      return new LinkMessage.GrantResponse(decoder.correlationId(), Optional.empty());
    }
    GrantTransfer transfer =
        new GrantTransfer(
            decoder.tokens(), decoder.grantedTokens(), decoder.grantId(), decoder.rowVersion());
    if (transfer.tokens() < 0 || transfer.tokens() > transfer.grantedTokens()) {
      throw new MalformedMessageException(
          "grant transfer with an invalid number of tokens: " + transfer.tokens());
    }
    return new LinkMessage.GrantResponse(decoder.correlationId(), Optional.of(transfer));
  }

  private static LinkMessage decodeTurnsResponse(DirectBuffer buffer, MessageHeaderDecoder header) {
    TurnsAnswerDecoder decoder = new TurnsAnswerDecoder().wrapAndApplyHeader(buffer, 0, header);
    long correlationId = decoder.correlationId();
    List<StoredTurn> turns = new ArrayList<>();
    for (TurnsAnswerDecoder.TurnsDecoder turn : decoder.turns()) {
      String turnId = turn.turnId();
      byte[] content = new byte[checkedLength(turn.contentLength(), buffer)];
      turn.getContent(content, 0, content.length);
      turns.add(StoredTurnCodec.decodeWhole(turnId, content));
    }
    return new LinkMessage.TurnsResponse(correlationId, turns);
  }

  /**
   * Returns the length if it is not larger than the received bytes; a sent length is not trusted.
   */
  private static int checkedLength(int length, DirectBuffer buffer) {
    if (length < 0 || length > buffer.capacity()) {
      throw new MalformedMessageException("invalid field length " + length);
    }
    return length;
  }
}
