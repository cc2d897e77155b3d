package org.baykeel.gateway.relay;

import java.nio.charset.StandardCharsets;
import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;
import org.baykeel.protocol.generated.StoreRelayReplyDecoder;
import org.baykeel.protocol.generated.StoreRelayReplyEncoder;
import org.baykeel.protocol.generated.StoreRelayRequestDecoder;
import org.baykeel.protocol.generated.StoreRelayRequestEncoder;

/** Relayed calls and their outcomes as SBE. */
final class RelayCodec {
  private static final int MAX_TARGET_BYTES = 4_096;
  private static final long MAX_TIMEOUT_MILLIS = 30_000;
  private static final byte[] NO_BODY = new byte[0];

  /** How a call ended, as it is sent. */
  private enum Outcome {
    ANSWERED,
    NOT_SENT,
    LOST
  }

  /** Bytes that are not a message. */
  static final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
      super(message);
    }
  }

  private RelayCodec() {}

  static byte[] encode(RelayMessage message) {
    return message instanceof RelayMessage.Request request
        ? encode(request)
        : encode((RelayMessage.Reply) message);
  }

  private static byte[] encode(RelayMessage.Request request) {
    StoreCall call = request.call();
    byte[] body = call.body() == null ? NO_BODY : call.body();
    byte[] target = call.target().getBytes(StandardCharsets.UTF_8);
    byte[] method = call.method().name().getBytes(StandardCharsets.UTF_8);
    int length =
        MessageHeaderEncoder.ENCODED_LENGTH
            + StoreRelayRequestEncoder.BLOCK_LENGTH
            + StoreRelayRequestEncoder.methodHeaderLength()
            + method.length
            + StoreRelayRequestEncoder.targetHeaderLength()
            + target.length
            + StoreRelayRequestEncoder.bodyHeaderLength()
            + body.length;
    byte[] bytes = new byte[length];
    new StoreRelayRequestEncoder()
        .wrapAndApplyHeader(new UnsafeBuffer(bytes), 0, new MessageHeaderEncoder())
        .correlationId(request.correlationId())
        .timeoutMillis(call.timeoutMillis())
        .longPoll((short) (call.longPoll() ? 1 : 0))
        .putMethod(method, 0, method.length)
        .putTarget(target, 0, target.length)
        .putBody(body, 0, body.length);
    return bytes;
  }

  private static byte[] encode(RelayMessage.Reply message) {
    StoreReply reply = message.reply();
    if (reply instanceof StoreReply.Answered answered) {
      return reply(message.correlationId(), Outcome.ANSWERED, answered.status(), answered.body());
    }
    boolean lost = reply instanceof StoreReply.Lost;
    String reason =
        lost ? ((StoreReply.Lost) reply).reason() : ((StoreReply.NotSent) reply).reason();
    return reply(
        message.correlationId(),
        lost ? Outcome.LOST : Outcome.NOT_SENT,
        0,
        reason.getBytes(StandardCharsets.UTF_8));
  }

  private static byte[] reply(long correlationId, Outcome outcome, int status, byte[] content) {
    int length =
        MessageHeaderEncoder.ENCODED_LENGTH
            + StoreRelayReplyEncoder.BLOCK_LENGTH
            + StoreRelayReplyEncoder.contentHeaderLength()
            + content.length;
    byte[] bytes = new byte[length];
    new StoreRelayReplyEncoder()
        .wrapAndApplyHeader(new UnsafeBuffer(bytes), 0, new MessageHeaderEncoder())
        .correlationId(correlationId)
        .outcome((short) outcome.ordinal())
        .status(status)
        .putContent(content, 0, content.length);
    return bytes;
  }

  /**
   * Reads a message.
   *
   * @throws MalformedMessageException if the bytes are none
   */
  static RelayMessage decode(byte[] bytes) {
    if (bytes.length < MessageHeaderDecoder.ENCODED_LENGTH) {
      throw new MalformedMessageException(bytes.length + " bytes");
    }
    UnsafeBuffer buffer = new UnsafeBuffer(bytes);
    MessageHeaderDecoder header = new MessageHeaderDecoder().wrap(buffer, 0);
    if (header.schemaId() != MessageHeaderDecoder.SCHEMA_ID) {
      throw new MalformedMessageException("schema " + header.schemaId());
    }
    try {
      return switch (header.templateId()) {
        case StoreRelayRequestDecoder.TEMPLATE_ID -> decodeRequest(buffer, header);
        case StoreRelayReplyDecoder.TEMPLATE_ID -> decodeReply(buffer, header);
        default -> throw new MalformedMessageException("template " + header.templateId());
      };
    } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
      throw new MalformedMessageException(String.valueOf(e.getMessage()));
    }
  }

  private static RelayMessage decodeRequest(UnsafeBuffer buffer, MessageHeaderDecoder header) {
    StoreRelayRequestDecoder decoder =
        new StoreRelayRequestDecoder().wrapAndApplyHeader(buffer, 0, header);
    long timeoutMillis = Math.min(MAX_TIMEOUT_MILLIS, decoder.timeoutMillis());
    boolean longPoll = decoder.longPoll() != 0;
    StoreCall.Method method = StoreCall.Method.valueOf(decoder.method());
    String target = decoder.target();
    if (target.length() > MAX_TARGET_BYTES || !target.startsWith("/")) {
      throw new MalformedMessageException("target of " + target.length() + " characters");
    }
    byte[] body = new byte[bounded(decoder.bodyLength(), buffer)];
    decoder.getBody(body, 0, body.length);
    StoreCall call =
        new StoreCall(
            method, target, method == StoreCall.Method.GET ? null : body, timeoutMillis, longPoll);
    return new RelayMessage.Request(decoder.correlationId(), call);
  }

  private static RelayMessage decodeReply(UnsafeBuffer buffer, MessageHeaderDecoder header) {
    StoreRelayReplyDecoder decoder =
        new StoreRelayReplyDecoder().wrapAndApplyHeader(buffer, 0, header);
    int outcome = decoder.outcome();
    if (outcome >= Outcome.values().length) {
      throw new MalformedMessageException("outcome " + outcome);
    }
    int status = decoder.status();
    byte[] content = new byte[bounded(decoder.contentLength(), buffer)];
    decoder.getContent(content, 0, content.length);
    StoreReply reply =
        switch (Outcome.values()[outcome]) {
          case ANSWERED -> new StoreReply.Answered(status, content);
          case NOT_SENT -> new StoreReply.NotSent(new String(content, StandardCharsets.UTF_8));
          case LOST -> new StoreReply.Lost(new String(content, StandardCharsets.UTF_8));
        };
    return new RelayMessage.Reply(decoder.correlationId(), reply);
  }

  /** A length as it was sent says nothing until it fits what was received. */
  private static int bounded(int length, UnsafeBuffer buffer) {
    if (length < 0 || length > buffer.capacity()) {
      throw new MalformedMessageException("length " + length);
    }
    return length;
  }
}
