package org.baykeel.core.wire;

import java.util.ArrayList;
import java.util.List;
import org.agrona.DirectBuffer;
import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.GroupId;
import org.baykeel.core.message.LogEntry;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberStatus;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.message.ShardRoute;
import org.baykeel.core.message.Usage;
import org.baykeel.protocol.generated.AppendRequestDecoder;
import org.baykeel.protocol.generated.AppendResponseDecoder;
import org.baykeel.protocol.generated.CacheInventoryDecoder;
import org.baykeel.protocol.generated.ConfigurationDocumentDecoder;
import org.baykeel.protocol.generated.EngineReportsDecoder;
import org.baykeel.protocol.generated.ForwardCancelDecoder;
import org.baykeel.protocol.generated.ForwardReplyDecoder;
import org.baykeel.protocol.generated.ForwardRequestDecoder;
import org.baykeel.protocol.generated.MemberDecoder;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.ProbeDecoder;
import org.baykeel.protocol.generated.RouteUpdateDecoder;
import org.baykeel.protocol.generated.SnapshotInstallDecoder;
import org.baykeel.protocol.generated.TransferLeadershipDecoder;
import org.baykeel.protocol.generated.VoteRequestDecoder;
import org.baykeel.protocol.generated.VoteResponseDecoder;

/** Decodes messages between nodes. Not thread-safe. */
public final class PeerMessageDecoder {
  private final MessageHeaderDecoder header = new MessageHeaderDecoder();
  private final LogRecordCodec records = new LogRecordCodec();

  /**
   * The message of some bytes.
   *
   * @throws IllegalArgumentException if the bytes are of another schema or template
   */
  public PeerMessage decode(byte[] bytes) {
    DirectBuffer buffer = new UnsafeBuffer(bytes);
    header.wrap(buffer, 0);
    if (header.schemaId() != ProbeDecoder.SCHEMA_ID) {
      throw new IllegalArgumentException("schema " + header.schemaId());
    }
    return switch (header.templateId()) {
      case ProbeDecoder.TEMPLATE_ID -> decodeProbe(buffer);
      case VoteRequestDecoder.TEMPLATE_ID -> decodeVoteRequest(buffer);
      case VoteResponseDecoder.TEMPLATE_ID -> decodeVoteResponse(buffer);
      case AppendRequestDecoder.TEMPLATE_ID -> decodeAppend(buffer);
      case AppendResponseDecoder.TEMPLATE_ID -> decodeAppendResponse(buffer);
      case SnapshotInstallDecoder.TEMPLATE_ID -> decodeSnapshot(buffer);
      case TransferLeadershipDecoder.TEMPLATE_ID -> decodeTransfer(buffer);
      case RouteUpdateDecoder.TEMPLATE_ID -> decodeRoutes(buffer);
      case ForwardRequestDecoder.TEMPLATE_ID -> decodeForward(buffer);
      case ForwardReplyDecoder.TEMPLATE_ID -> decodeReply(buffer);
      case ForwardCancelDecoder.TEMPLATE_ID -> decodeCancel(buffer);
      case ConfigurationDocumentDecoder.TEMPLATE_ID -> decodeDocument(buffer);
      case EngineReportsDecoder.TEMPLATE_ID -> decodeReports(buffer);
      case CacheInventoryDecoder.TEMPLATE_ID -> decodeInventory(buffer);
      default -> throw new IllegalArgumentException("template " + header.templateId());
    };
  }

  private static MemberId member(MemberDecoder decoder) {
    return new MemberId(decoder.nodeId(), decoder.incarnation());
  }

  private PeerMessage decodeProbe(DirectBuffer buffer) {
    ProbeDecoder decoder = new ProbeDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    List<MemberUpdate> updates = new ArrayList<>();
    for (var item : decoder.updates()) {
      MemberId id = member(item.id());
      int refutation = item.refutation();
      MemberStatus status = MemberStatus.of(item.status());
      int peerPort = item.peerPort();
      int httpPort = item.httpPort();
      String host = item.host();
      String zone = item.zone();
      NodeAddress address = new NodeAddress(host, peerPort, httpPort, zone, item.region());
      updates.add(new MemberUpdate(id, refutation, status, address));
    }
    return new PeerMessage.Probe(
        PeerMessage.ProbeKind.of(decoder.kind()),
        decoder.sequence(),
        member(decoder.subject()),
        decoder.configurationVersion(),
        decoder.routesDigest(),
        decoder.replicas(),
        updates);
  }

  private PeerMessage decodeVoteRequest(DirectBuffer buffer) {
    VoteRequestDecoder decoder = new VoteRequestDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    return new PeerMessage.VoteRequest(
        new GroupId(decoder.shard(), decoder.generation()),
        decoder.term(),
        decoder.lastIndex(),
        decoder.lastTerm(),
        decoder.preVote() == 1,
        decoder.transfer() == 1);
  }

  private PeerMessage decodeVoteResponse(DirectBuffer buffer) {
    VoteResponseDecoder decoder = new VoteResponseDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    return new PeerMessage.VoteResponse(
        new GroupId(decoder.shard(), decoder.generation()),
        decoder.term(),
        decoder.preVote() == 1,
        decoder.granted() == 1);
  }

  private PeerMessage decodeAppend(DirectBuffer buffer) {
    AppendRequestDecoder decoder = new AppendRequestDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    List<LogEntry> entries = new ArrayList<>();
    for (var item : decoder.entries()) {
      long term = item.entryTerm();
      byte[] payload = new byte[item.payloadLength()];
      item.getPayload(payload, 0, payload.length);
      entries.add(new LogEntry(term, records.decode(payload)));
    }
    return new PeerMessage.AppendRequest(
        new GroupId(decoder.shard(), decoder.generation()),
        decoder.term(),
        decoder.previousIndex(),
        decoder.previousTerm(),
        decoder.commitIndex(),
        entries);
  }

  private PeerMessage decodeAppendResponse(DirectBuffer buffer) {
    AppendResponseDecoder decoder = new AppendResponseDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    return new PeerMessage.AppendResponse(
        new GroupId(decoder.shard(), decoder.generation()),
        decoder.term(),
        decoder.success() == 1,
        decoder.matchIndex());
  }

  private PeerMessage decodeSnapshot(DirectBuffer buffer) {
    SnapshotInstallDecoder decoder = new SnapshotInstallDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    List<MemberId> members = new ArrayList<>();
    for (var item : decoder.members()) {
      members.add(member(item.id()));
    }
    List<LogRecord> snapshotRecords = new ArrayList<>();
    for (var item : decoder.records()) {
      byte[] payload = new byte[item.payloadLength()];
      item.getPayload(payload, 0, payload.length);
      snapshotRecords.add(records.decode(payload));
    }
    return new PeerMessage.SnapshotInstall(
        new GroupId(decoder.shard(), decoder.generation()),
        decoder.term(),
        decoder.lastIndex(),
        decoder.lastTerm(),
        members,
        snapshotRecords);
  }

  private PeerMessage decodeTransfer(DirectBuffer buffer) {
    TransferLeadershipDecoder decoder = new TransferLeadershipDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    GroupId group = new GroupId(decoder.shard(), decoder.generation());
    return new PeerMessage.TransferLeadership(group, decoder.term());
  }

  private PeerMessage decodeRoutes(DirectBuffer buffer) {
    RouteUpdateDecoder decoder = new RouteUpdateDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    List<ShardRoute> routes = new ArrayList<>();
    for (var item : decoder.routes()) {
      GroupId group = new GroupId(item.shard(), item.generation());
      routes.add(new ShardRoute(group, item.term(), member(item.leader())));
    }
    return new PeerMessage.RouteUpdate(routes);
  }

  private PeerMessage decodeForward(DirectBuffer buffer) {
    ForwardRequestDecoder decoder = new ForwardRequestDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    String tenant = decoder.tenant();
    String programId = decoder.programId();
    String idempotencyKey = decoder.idempotencyKey();
    String target = decoder.target();
    String operation = decoder.operation();
    byte[] body = new byte[decoder.bodyLength()];
    decoder.getBody(body, 0, body.length);
    byte[] received = new byte[decoder.receivedTextLength()];
    decoder.getReceivedText(received, 0, received.length);
    CallerRequest request =
        new CallerRequest(
            CallerRequest.Kind.of(decoder.kind()),
            decoder.shard(),
            tenant,
            programId,
            idempotencyKey,
            decoder.deadlineMillis(),
            decoder.maximumTokens(),
            target,
            operation,
            Payload.wrap(body),
            Payload.wrap(received));
    return new PeerMessage.ForwardRequest(decoder.edgeRequestId(), request);
  }

  private PeerMessage decodeReply(DirectBuffer buffer) {
    ForwardReplyDecoder decoder = new ForwardReplyDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    String detail = decoder.detail();
    byte[] bytes = new byte[decoder.bodyLength()];
    decoder.getBody(bytes, 0, bytes.length);
    Payload body = Payload.wrap(bytes);
    CallerReply reply =
        switch (ReplyCode.of(decoder.kind())) {
          case CHUNK -> new CallerReply.Chunk(decoder.textOffset(), body);
          case COMPLETED -> new CallerReply.Completed(body, usage(decoder), decoder.cost());
          case FAILED ->
              new CallerReply.Failed(
                  ErrorKind.ofCode(decoder.errorCode()), detail, decoder.retryAfterMillis());
          case NOT_LEADER -> new CallerReply.NotLeader();
          case ACCEPTED -> new CallerReply.Accepted();
        };
    return new PeerMessage.ForwardReply(decoder.edgeRequestId(), reply);
  }

  private static Usage usage(ForwardReplyDecoder decoder) {
    return new Usage(decoder.promptTokens(), decoder.completionTokens(), decoder.cachedTokens());
  }

  private PeerMessage decodeCancel(DirectBuffer buffer) {
    ForwardCancelDecoder decoder = new ForwardCancelDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    return new PeerMessage.ForwardCancel(decoder.edgeRequestId(), decoder.shard());
  }

  private PeerMessage decodeDocument(DirectBuffer buffer) {
    ConfigurationDocumentDecoder decoder = new ConfigurationDocumentDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    byte[] document = new byte[decoder.documentLength()];
    decoder.getDocument(document, 0, document.length);
    return new PeerMessage.ConfigurationDocument(
        decoder.configurationVersion(), Payload.wrap(document));
  }

  private PeerMessage decodeReports(DirectBuffer buffer) {
    EngineReportsDecoder decoder = new EngineReportsDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    List<EngineReport> reports = new ArrayList<>();
    for (var item : decoder.reports()) {
      reports.add(
          new EngineReport(
              item.engine(),
              item.observedAtMillis(),
              item.running(),
              item.waiting(),
              item.freeCacheTokens(),
              EngineReport.Status.of(item.status())));
    }
    return new PeerMessage.EngineReports(reports);
  }

  private PeerMessage decodeInventory(DirectBuffer buffer) {
    CacheInventoryDecoder decoder = new CacheInventoryDecoder();
    decoder.wrapAndApplyHeader(buffer, 0, header);
    int shard = decoder.shard();
    List<String> programIds = new ArrayList<>();
    for (var item : decoder.programs()) {
      programIds.add(item.programId());
    }
    return new PeerMessage.CacheInventory(shard, decoder.engine(), programIds);
  }
}
