package org.baykeel.core.wire;

import java.util.List;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.MutableDirectBuffer;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.LogEntry;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.message.ShardRoute;
import org.baykeel.protocol.generated.AppendRequestEncoder;
import org.baykeel.protocol.generated.AppendResponseEncoder;
import org.baykeel.protocol.generated.CacheInventoryEncoder;
import org.baykeel.protocol.generated.ConfigurationDocumentEncoder;
import org.baykeel.protocol.generated.EngineReportsEncoder;
import org.baykeel.protocol.generated.ForwardCancelEncoder;
import org.baykeel.protocol.generated.ForwardReplyEncoder;
import org.baykeel.protocol.generated.ForwardRequestEncoder;
import org.baykeel.protocol.generated.MemberEncoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;
import org.baykeel.protocol.generated.ProbeEncoder;
import org.baykeel.protocol.generated.RouteUpdateEncoder;
import org.baykeel.protocol.generated.SnapshotInstallEncoder;
import org.baykeel.protocol.generated.TransferLeadershipEncoder;
import org.baykeel.protocol.generated.VoteRequestEncoder;
import org.baykeel.protocol.generated.VoteResponseEncoder;

/** Encodes messages between nodes. Not thread-safe: buffers are reused. */
public final class PeerMessageEncoder {
  private static final int INITIAL_BYTES = 4_096;

  private final MutableDirectBuffer buffer = new ExpandableArrayBuffer(INITIAL_BYTES);
  private final MessageHeaderEncoder header = new MessageHeaderEncoder();
  private final LogRecordCodec records = new LogRecordCodec();

  /** The bytes of a message. */
  public byte[] encode(PeerMessage message) {
    int length = MessageHeaderEncoder.ENCODED_LENGTH + encodeBody(message);
    byte[] bytes = new byte[length];
    buffer.getBytes(0, bytes);
    return bytes;
  }

  private int encodeBody(PeerMessage message) {
    if (message instanceof PeerMessage.Probe probe) {
      return encodeProbe(probe);
    }
    if (message instanceof PeerMessage.GroupMessage groupMessage) {
      return encodeGroupMessage(groupMessage);
    }
    if (message instanceof PeerMessage.RouteUpdate update) {
      return encodeRoutes(update);
    }
    if (message instanceof PeerMessage.ForwardRequest forward) {
      return encodeForward(forward);
    }
    if (message instanceof PeerMessage.ForwardReply reply) {
      return encodeReply(reply);
    }
    if (message instanceof PeerMessage.ForwardCancel cancel) {
      ForwardCancelEncoder encoder = new ForwardCancelEncoder();
      encoder.wrapAndApplyHeader(buffer, 0, header);
      return encoder.edgeRequestId(cancel.edgeRequestId()).shard(cancel.shard()).encodedLength();
    }
    if (message instanceof PeerMessage.ConfigurationDocument document) {
      ConfigurationDocumentEncoder encoder = new ConfigurationDocumentEncoder();
      encoder.wrapAndApplyHeader(buffer, 0, header);
      encoder.configurationVersion(document.version());
      encoder.putDocument(document.document().array(), 0, document.document().length());
      return encoder.encodedLength();
    }
    if (message instanceof PeerMessage.EngineReports reports) {
      return encodeReports(reports);
    }
    if (message instanceof PeerMessage.CacheInventory inventory) {
      return encodeInventory(inventory);
    }
    throw new IllegalArgumentException("no encoder for " + message.getClass());
  }

  private static void put(MemberEncoder encoder, MemberId id) {
    encoder.nodeId(id.nodeId()).incarnation(id.incarnation());
  }

  private static short flag(boolean value) {
    return (short) (value ? 1 : 0);
  }

  private int encodeProbe(PeerMessage.Probe probe) {
    ProbeEncoder encoder = new ProbeEncoder();
    encoder.wrapAndApplyHeader(buffer, 0, header);
    encoder.kind((short) probe.kind().ordinal()).sequence(probe.sequence());
    put(encoder.subject(), probe.subject());
    encoder
        .configurationVersion(probe.configurationVersion())
        .routesDigest(probe.routesDigest())
        .replicas(probe.replicas());
    var group = encoder.updatesCount(probe.updates().size());
    for (MemberUpdate update : probe.updates()) {
      group.next();
      put(group.id(), update.id());
      group
          .refutation(update.refutation())
          .status((short) update.status().ordinal())
          .peerPort(update.address().peerPort())
          .httpPort(update.address().httpPort())
          .host(update.address().host())
          .zone(update.address().zone())
          .region(update.address().region());
    }
    return encoder.encodedLength();
  }

  private int encodeGroupMessage(PeerMessage.GroupMessage message) {
    if (message instanceof PeerMessage.AppendRequest request) {
      return encodeAppend(request);
    }
    if (message instanceof PeerMessage.AppendResponse response) {
      AppendResponseEncoder encoder = new AppendResponseEncoder();
      encoder.wrapAndApplyHeader(buffer, 0, header);
      return encoder
          .shard(response.group().shard())
          .generation(response.group().generation())
          .term(response.term())
          .matchIndex(response.matchIndex())
          .success(flag(response.success()))
          .encodedLength();
    }
    if (message instanceof PeerMessage.VoteRequest request) {
      VoteRequestEncoder encoder = new VoteRequestEncoder();
      encoder.wrapAndApplyHeader(buffer, 0, header);
      return encoder
          .shard(request.group().shard())
          .generation(request.group().generation())
          .term(request.term())
          .lastIndex(request.lastIndex())
          .lastTerm(request.lastTerm())
          .preVote(flag(request.preVote()))
          .transfer(flag(request.transfer()))
          .encodedLength();
    }
    if (message instanceof PeerMessage.VoteResponse response) {
      VoteResponseEncoder encoder = new VoteResponseEncoder();
      encoder.wrapAndApplyHeader(buffer, 0, header);
      return encoder
          .shard(response.group().shard())
          .generation(response.group().generation())
          .term(response.term())
          .preVote(flag(response.preVote()))
          .granted(flag(response.granted()))
          .encodedLength();
    }
    if (message instanceof PeerMessage.TransferLeadership transfer) {
      TransferLeadershipEncoder encoder = new TransferLeadershipEncoder();
      encoder.wrapAndApplyHeader(buffer, 0, header);
      return encoder
          .shard(transfer.group().shard())
          .generation(transfer.group().generation())
          .term(transfer.term())
          .encodedLength();
    }
    return encodeSnapshot((PeerMessage.SnapshotInstall) message);
  }

  private int encodeAppend(PeerMessage.AppendRequest request) {
    AppendRequestEncoder encoder = new AppendRequestEncoder();
    encoder.wrapAndApplyHeader(buffer, 0, header);
    encoder
        .shard(request.group().shard())
        .generation(request.group().generation())
        .term(request.term())
        .previousIndex(request.previousIndex())
        .previousTerm(request.previousTerm())
        .commitIndex(request.commitIndex());
    var group = encoder.entriesCount(request.entries().size());
    for (LogEntry entry : request.entries()) {
      byte[] payload = records.encode(entry.record());
      group.next().entryTerm(entry.term()).putPayload(payload, 0, payload.length);
    }
    return encoder.encodedLength();
  }

  private int encodeSnapshot(PeerMessage.SnapshotInstall snapshot) {
    SnapshotInstallEncoder encoder = new SnapshotInstallEncoder();
    encoder.wrapAndApplyHeader(buffer, 0, header);
    encoder
        .shard(snapshot.group().shard())
        .generation(snapshot.group().generation())
        .term(snapshot.term())
        .lastIndex(snapshot.lastIndex())
        .lastTerm(snapshot.lastTerm());
    var members = encoder.membersCount(snapshot.members().size());
    for (MemberId member : snapshot.members()) {
      put(members.next().id(), member);
    }
    var group = encoder.recordsCount(snapshot.records().size());
    for (LogRecord record : snapshot.records()) {
      byte[] payload = records.encode(record);
      group.next().putPayload(payload, 0, payload.length);
    }
    return encoder.encodedLength();
  }

  private int encodeRoutes(PeerMessage.RouteUpdate update) {
    RouteUpdateEncoder encoder = new RouteUpdateEncoder();
    encoder.wrapAndApplyHeader(buffer, 0, header);
    var group = encoder.routesCount(update.routes().size());
    for (ShardRoute route : update.routes()) {
      group
          .next()
          .shard(route.group().shard())
          .generation(route.group().generation())
          .term(route.term());
      put(group.leader(), route.leader());
    }
    return encoder.encodedLength();
  }

  private int encodeForward(PeerMessage.ForwardRequest forward) {
    CallerRequest request = forward.request();
    ForwardRequestEncoder encoder = new ForwardRequestEncoder();
    encoder.wrapAndApplyHeader(buffer, 0, header);
    encoder
        .edgeRequestId(forward.edgeRequestId())
        .kind((short) request.kind().ordinal())
        .deadlineMillis(request.deadlineMillis())
        .maximumTokens(request.maximumTokens())
        .shard(request.shard())
        .tenant(request.tenant())
        .programId(request.programId())
        .idempotencyKey(request.idempotencyKey())
        .target(request.target())
        .operation(request.operation())
        .putBody(request.body().array(), 0, request.body().length())
        .putReceivedText(request.receivedText().array(), 0, request.receivedText().length());
    return encoder.encodedLength();
  }

  private int encodeReply(PeerMessage.ForwardReply message) {
    ForwardReplyEncoder encoder = new ForwardReplyEncoder();
    encoder.wrapAndApplyHeader(buffer, 0, header);
    encoder.edgeRequestId(message.edgeRequestId());
    encoder.textOffset(0).errorCode(0).retryAfterMillis(0);
    encoder.promptTokens(0).completionTokens(0).cachedTokens(0).cost(0);
    CallerReply reply = message.reply();
    encoder.kind((short) ReplyCode.of(reply).ordinal());
    if (reply instanceof CallerReply.Chunk chunk) {
      encoder.textOffset(chunk.offset());
      return finishReply(encoder, "", chunk.text());
    }
    if (reply instanceof CallerReply.Completed completed) {
      encoder
          .promptTokens(completed.usage().promptTokens())
          .completionTokens(completed.usage().completionTokens())
          .cachedTokens(completed.usage().cachedTokens())
          .cost(completed.cost());
      return finishReply(encoder, "", completed.answer());
    }
    if (reply instanceof CallerReply.Failed failed) {
      encoder.errorCode(failed.kind().code()).retryAfterMillis(failed.retryAfterMillis());
      return finishReply(encoder, failed.detail(), Payload.EMPTY);
    }
    return finishReply(encoder, "", Payload.EMPTY);
  }

  private static int finishReply(ForwardReplyEncoder encoder, String detail, Payload body) {
    encoder.detail(detail).putBody(body.array(), 0, body.length());
    return encoder.encodedLength();
  }

  private int encodeReports(PeerMessage.EngineReports message) {
    EngineReportsEncoder encoder = new EngineReportsEncoder();
    encoder.wrapAndApplyHeader(buffer, 0, header);
    List<EngineReport> reports = message.reports();
    var group = encoder.reportsCount(reports.size());
    for (EngineReport report : reports) {
      group
          .next()
          .observedAtMillis(report.observedAtMillis())
          .running(report.running())
          .waiting(report.waiting())
          .freeCacheTokens(report.freeCacheTokens())
          .status((short) report.status().ordinal())
          .engine(report.engine());
    }
    return encoder.encodedLength();
  }

  private int encodeInventory(PeerMessage.CacheInventory inventory) {
    CacheInventoryEncoder encoder = new CacheInventoryEncoder();
    encoder.wrapAndApplyHeader(buffer, 0, header);
    encoder.shard(inventory.shard());
    var group = encoder.programsCount(inventory.programIds().size());
    for (String programId : inventory.programIds()) {
      group.next().programId(programId);
    }
    encoder.engine(inventory.engine());
    return encoder.encodedLength();
  }
}
