package org.baykeel.core.wire;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.MutableDirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;
import org.baykeel.protocol.generated.AttemptFailedRecordDecoder;
import org.baykeel.protocol.generated.AttemptFailedRecordEncoder;
import org.baykeel.protocol.generated.CacheReleasedRecordDecoder;
import org.baykeel.protocol.generated.CacheReleasedRecordEncoder;
import org.baykeel.protocol.generated.CallCompletedRecordDecoder;
import org.baykeel.protocol.generated.CallCompletedRecordEncoder;
import org.baykeel.protocol.generated.CallDispatchedRecordDecoder;
import org.baykeel.protocol.generated.CallDispatchedRecordEncoder;
import org.baykeel.protocol.generated.MembersRecordDecoder;
import org.baykeel.protocol.generated.MembersRecordEncoder;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;
import org.baykeel.protocol.generated.NoOperationRecordDecoder;
import org.baykeel.protocol.generated.NoOperationRecordEncoder;
import org.baykeel.protocol.generated.ProgramCreatedRecordDecoder;
import org.baykeel.protocol.generated.ProgramCreatedRecordEncoder;
import org.baykeel.protocol.generated.ProgramEndedRecordDecoder;
import org.baykeel.protocol.generated.ProgramEndedRecordEncoder;
import org.baykeel.protocol.generated.ProgramForgottenRecordDecoder;
import org.baykeel.protocol.generated.ProgramForgottenRecordEncoder;
import org.baykeel.protocol.generated.SubmissionRefusedRecordDecoder;
import org.baykeel.protocol.generated.SubmissionRefusedRecordEncoder;

/** Encodes the records of a shard's log. Not thread-safe: buffers are reused. */
public final class LogRecordCodec {
  private static final int INITIAL_BYTES = 1_024;

  private final MessageHeaderEncoder headerEncoder = new MessageHeaderEncoder();
  private final MessageHeaderDecoder headerDecoder = new MessageHeaderDecoder();
  private final MutableDirectBuffer scratch = new ExpandableArrayBuffer(INITIAL_BYTES);

  /** The bytes of a record. */
  public byte[] encode(LogRecord record) {
    int length = encodeInto(record);
    byte[] bytes = new byte[length];
    scratch.getBytes(0, bytes);
    return bytes;
  }

  private int encodeInto(LogRecord record) {
    if (record instanceof LogRecord.NoOperation) {
      NoOperationRecordEncoder encoder = new NoOperationRecordEncoder();
      return MessageHeaderEncoder.ENCODED_LENGTH
          + encoder.wrapAndApplyHeader(scratch, 0, headerEncoder).encodedLength();
    }
    if (record instanceof LogRecord.Members members) {
      return encodeMembers(members);
    }
    if (record instanceof LogRecord.ProgramCreated created) {
      return encodeCreated(created);
    }
    if (record instanceof LogRecord.CallDispatched dispatched) {
      return encodeDispatched(dispatched);
    }
    if (record instanceof LogRecord.CallCompleted completed) {
      return encodeCompleted(completed);
    }
    if (record instanceof LogRecord.AttemptFailed failed) {
      return encodeFailed(failed);
    }
    if (record instanceof LogRecord.SubmissionRefused refused) {
      return encodeRefused(refused);
    }
    if (record instanceof LogRecord.ProgramEnded ended) {
      ProgramEndedRecordEncoder encoder = new ProgramEndedRecordEncoder();
      encoder.wrapAndApplyHeader(scratch, 0, headerEncoder);
      encoder.endedAtMillis(ended.endedAtMillis()).programId(ended.programId());
      return MessageHeaderEncoder.ENCODED_LENGTH + encoder.encodedLength();
    }
    if (record instanceof LogRecord.CacheReleased released) {
      CacheReleasedRecordEncoder encoder = new CacheReleasedRecordEncoder();
      encoder.wrapAndApplyHeader(scratch, 0, headerEncoder);
      encoder.programId(released.programId()).engine(released.engine());
      return MessageHeaderEncoder.ENCODED_LENGTH + encoder.encodedLength();
    }
    if (record instanceof LogRecord.ProgramForgotten forgotten) {
      ProgramForgottenRecordEncoder encoder = new ProgramForgottenRecordEncoder();
      encoder.wrapAndApplyHeader(scratch, 0, headerEncoder);
      encoder.programId(forgotten.programId());
      return MessageHeaderEncoder.ENCODED_LENGTH + encoder.encodedLength();
    }
    throw new IllegalArgumentException("no codec for " + record.getClass());
  }

  private int encodeMembers(LogRecord.Members record) {
    MembersRecordEncoder encoder = new MembersRecordEncoder();
    encoder.wrapAndApplyHeader(scratch, 0, headerEncoder);
    var group = encoder.membersCount(record.members().size());
    for (MemberId member : record.members()) {
      group.next().id().nodeId(member.nodeId()).incarnation(member.incarnation());
    }
    return MessageHeaderEncoder.ENCODED_LENGTH + encoder.encodedLength();
  }

  private int encodeCreated(LogRecord.ProgramCreated record) {
    ProgramCreatedRecordEncoder encoder = new ProgramCreatedRecordEncoder();
    encoder.wrapAndApplyHeader(scratch, 0, headerEncoder);
    encoder
        .createdAtMillis(record.createdAtMillis())
        .budget(record.budget())
        .turnLimit(record.turnLimit())
        .programId(record.programId())
        .tenant(record.tenant())
        .programClass(record.programClass())
        .parentId(record.parentId())
        .idempotencyKey(record.idempotencyKey());
    return MessageHeaderEncoder.ENCODED_LENGTH + encoder.encodedLength();
  }

  private int encodeDispatched(LogRecord.CallDispatched record) {
    CallDispatchedRecordEncoder encoder = new CallDispatchedRecordEncoder();
    encoder.wrapAndApplyHeader(scratch, 0, headerEncoder);
    encoder
        .dispatchedAtMillis(record.dispatchedAtMillis())
        .callSequence(record.callSequence())
        .attempt(record.attempt())
        .kind((short) record.kind().ordinal())
        .repeatable((short) (record.repeatable() ? 1 : 0))
        .reservation(record.reservation())
        .maximumTokens(record.maximumTokens());
    encoder
        .dispatcher()
        .nodeId(record.dispatcher().nodeId())
        .incarnation(record.dispatcher().incarnation());
    encoder
        .programId(record.programId())
        .idempotencyKey(record.idempotencyKey())
        .target(record.target())
        .backend(record.backend())
        .operation(record.operation())
        .putRequestDigest(record.requestDigest().array(), 0, record.requestDigest().length())
        .putBody(record.body().array(), 0, record.body().length());
    return MessageHeaderEncoder.ENCODED_LENGTH + encoder.encodedLength();
  }

  private int encodeCompleted(LogRecord.CallCompleted record) {
    CallCompletedRecordEncoder encoder = new CallCompletedRecordEncoder();
    encoder.wrapAndApplyHeader(scratch, 0, headerEncoder);
    encoder
        .callSequence(record.callSequence())
        .attempt(record.attempt())
        .cost(record.cost())
        .promptTokens(record.usage().promptTokens())
        .completionTokens(record.usage().completionTokens())
        .cachedTokens(record.usage().cachedTokens())
        .programId(record.programId())
        .putAnswer(record.answer().array(), 0, record.answer().length());
    return MessageHeaderEncoder.ENCODED_LENGTH + encoder.encodedLength();
  }

  private int encodeFailed(LogRecord.AttemptFailed record) {
    AttemptFailedRecordEncoder encoder = new AttemptFailedRecordEncoder();
    encoder.wrapAndApplyHeader(scratch, 0, headerEncoder);
    encoder
        .callSequence(record.callSequence())
        .attempt(record.attempt())
        .errorCode(record.kind().code())
        .cost(record.cost())
        .closesCall((short) (record.closesCall() ? 1 : 0))
        .programId(record.programId());
    return MessageHeaderEncoder.ENCODED_LENGTH + encoder.encodedLength();
  }

  private int encodeRefused(LogRecord.SubmissionRefused record) {
    SubmissionRefusedRecordEncoder encoder = new SubmissionRefusedRecordEncoder();
    encoder.wrapAndApplyHeader(scratch, 0, headerEncoder);
    encoder.requestId(record.requestId()).errorCode(record.kind().code());
    encoder.edge().nodeId(record.edge().nodeId()).incarnation(record.edge().incarnation());
    encoder.programId(record.programId());
    return MessageHeaderEncoder.ENCODED_LENGTH + encoder.encodedLength();
  }

  /**
   * The record of some bytes.
   *
   * @throws IllegalArgumentException if no record has the template
   */
  public LogRecord decode(byte[] bytes) {
    DirectBuffer buffer = new UnsafeBuffer(bytes);
    headerDecoder.wrap(buffer, 0);
    return switch (headerDecoder.templateId()) {
      case NoOperationRecordDecoder.TEMPLATE_ID -> new LogRecord.NoOperation();
      case MembersRecordDecoder.TEMPLATE_ID -> decodeMembers(buffer);
      case ProgramCreatedRecordDecoder.TEMPLATE_ID -> decodeCreated(buffer);
      case CallDispatchedRecordDecoder.TEMPLATE_ID -> decodeDispatched(buffer);
      case CallCompletedRecordDecoder.TEMPLATE_ID -> decodeCompleted(buffer);
      case AttemptFailedRecordDecoder.TEMPLATE_ID -> decodeFailed(buffer);
      case SubmissionRefusedRecordDecoder.TEMPLATE_ID -> decodeRefused(buffer);
      case ProgramEndedRecordDecoder.TEMPLATE_ID -> {
        var decoder = new ProgramEndedRecordDecoder();
        decoder.wrapAndApplyHeader(buffer, 0, headerDecoder);
        long endedAt = decoder.endedAtMillis();
        yield new LogRecord.ProgramEnded(decoder.programId(), endedAt);
      }
      case CacheReleasedRecordDecoder.TEMPLATE_ID -> {
        var decoder = new CacheReleasedRecordDecoder();
        decoder.wrapAndApplyHeader(buffer, 0, headerDecoder);
        String programId = decoder.programId();
        yield new LogRecord.CacheReleased(programId, decoder.engine());
      }
      case ProgramForgottenRecordDecoder.TEMPLATE_ID -> {
        var decoder = new ProgramForgottenRecordDecoder();
        decoder.wrapAndApplyHeader(buffer, 0, headerDecoder);
        yield new LogRecord.ProgramForgotten(decoder.programId());
      }
      default -> throw new IllegalArgumentException("no record " + headerDecoder.templateId());
    };
  }

  private LogRecord decodeMembers(DirectBuffer buffer) {
    MembersRecordDecoder decoder = new MembersRecordDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, headerDecoder);
    List<MemberId> members = new ArrayList<>();
    for (var item : decoder.members()) {
      members.add(new MemberId(item.id().nodeId(), item.id().incarnation()));
    }
    return new LogRecord.Members(members);
  }

  private LogRecord decodeCreated(DirectBuffer buffer) {
    ProgramCreatedRecordDecoder decoder = new ProgramCreatedRecordDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, headerDecoder);
    String programId = decoder.programId();
    String tenant = decoder.tenant();
    String programClass = decoder.programClass();
    String parentId = decoder.parentId();
    String idempotencyKey = decoder.idempotencyKey();
    return new LogRecord.ProgramCreated(
        programId,
        tenant,
        programClass,
        parentId,
        idempotencyKey,
        decoder.budget(),
        decoder.turnLimit(),
        decoder.createdAtMillis());
  }

  private LogRecord decodeDispatched(DirectBuffer buffer) {
    CallDispatchedRecordDecoder decoder = new CallDispatchedRecordDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, headerDecoder);
    MemberId dispatcher =
        new MemberId(decoder.dispatcher().nodeId(), decoder.dispatcher().incarnation());
    String programId = decoder.programId();
    String idempotencyKey = decoder.idempotencyKey();
    String target = decoder.target();
    String backend = decoder.backend();
    String operation = decoder.operation();
    byte[] digest = new byte[decoder.requestDigestLength()];
    decoder.getRequestDigest(digest, 0, digest.length);
    byte[] body = new byte[decoder.bodyLength()];
    decoder.getBody(body, 0, body.length);
    return new LogRecord.CallDispatched(
        programId,
        decoder.callSequence(),
        decoder.attempt(),
        CallKind.of(decoder.kind()),
        decoder.repeatable() == 1,
        decoder.reservation(),
        decoder.maximumTokens(),
        dispatcher,
        idempotencyKey,
        target,
        backend,
        operation,
        Payload.wrap(digest),
        Payload.wrap(body),
        decoder.dispatchedAtMillis());
  }

  private LogRecord decodeCompleted(DirectBuffer buffer) {
    CallCompletedRecordDecoder decoder = new CallCompletedRecordDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, headerDecoder);
    Usage usage =
        new Usage(decoder.promptTokens(), decoder.completionTokens(), decoder.cachedTokens());
    String programId = decoder.programId();
    byte[] answer = new byte[decoder.answerLength()];
    decoder.getAnswer(answer, 0, answer.length);
    return new LogRecord.CallCompleted(
        programId,
        decoder.callSequence(),
        decoder.attempt(),
        decoder.cost(),
        usage,
        Payload.wrap(answer));
  }

  private LogRecord decodeRefused(DirectBuffer buffer) {
    SubmissionRefusedRecordDecoder decoder = new SubmissionRefusedRecordDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, headerDecoder);
    MemberId edge = new MemberId(decoder.edge().nodeId(), decoder.edge().incarnation());
    ErrorKind kind = ErrorKind.ofCode(decoder.errorCode());
    return new LogRecord.SubmissionRefused(decoder.programId(), edge, decoder.requestId(), kind);
  }

  private LogRecord decodeFailed(DirectBuffer buffer) {
    AttemptFailedRecordDecoder decoder = new AttemptFailedRecordDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, headerDecoder);
    return new LogRecord.AttemptFailed(
        decoder.programId(),
        decoder.callSequence(),
        decoder.attempt(),
        ErrorKind.ofCode(decoder.errorCode()),
        decoder.cost(),
        decoder.closesCall() == 1);
  }
}
