package org.baykeel.core.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Stream;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.CallKind;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Every message and record comes back from its bytes as it was. */
class TestPeerMessageCodec {
  private static final MemberId MEMBER = new MemberId(3, 1_700_000_000_123L);
  private static final GroupId GROUP = new GroupId(17, 2);
  private static final NodeAddress ADDRESS =
      new NodeAddress("127.0.0.1", 9_000, 8_080, "hall-a", "home");
  private static final CallerRequest REQUEST =
      new CallerRequest(
          CallerRequest.Kind.TOOL_CALL,
          5,
          "tenant",
          "p5-00ff00ff00ff",
          "key",
          12_345,
          64,
          "tablet",
          "put",
          Payload.of("Überprüfung ✓"),
          Payload.of("rec"));

  static List<LogRecord> records() {
    return List.of(
        new LogRecord.NoOperation(),
        new LogRecord.Members(List.of(MEMBER, new MemberId(9, 1))),
        new LogRecord.ProgramCreated("p1", "t", "c", "parent", "k", 1_000, 260, 77),
        new LogRecord.CallDispatched(
            "p1",
            4,
            2,
            CallKind.TOOL,
            false,
            99,
            32,
            MEMBER,
            "k4",
            "tablet",
            "tablet",
            "put",
            Payload.of("digest"),
            Payload.of("body"),
            88),
        new LogRecord.CallCompleted("p1", 4, 2, 50, new Usage(7, 8, 9), Payload.of("answer")),
        new LogRecord.AttemptFailed("p1", 4, 2, ErrorKind.OUTCOME_UNKNOWN, 99, true),
        new LogRecord.SubmissionRefused("p1", MEMBER, 42, ErrorKind.OVERLOADED),
        new LogRecord.ProgramEnded("p1", 99),
        new LogRecord.CacheReleased("p1", "engine"),
        new LogRecord.ProgramForgotten("p1"));
  }

  static Stream<PeerMessage> messages() {
    List<LogEntry> entries = records().stream().map(item -> new LogEntry(6, item)).toList();
    MemberUpdate update = new MemberUpdate(MEMBER, 2, MemberStatus.SUSPECT, ADDRESS);
    return Stream.of(
        new PeerMessage.Probe(
            PeerMessage.ProbeKind.JOIN_REPLY, 5, MEMBER, 7, -3, 4, List.of(update, update)),
        new PeerMessage.VoteRequest(GROUP, 8, 9, 7, true, false),
        new PeerMessage.VoteResponse(GROUP, 8, false, true),
        new PeerMessage.AppendRequest(GROUP, 8, 9, 7, 6, entries),
        new PeerMessage.AppendResponse(GROUP, 8, true, 12),
        new PeerMessage.SnapshotInstall(GROUP, 8, 9, 7, List.of(MEMBER), records()),
        new PeerMessage.TransferLeadership(GROUP, 8),
        new PeerMessage.RouteUpdate(List.of(new ShardRoute(GROUP, 8, MEMBER))),
        new PeerMessage.ForwardRequest(77, REQUEST),
        new PeerMessage.ForwardReply(77, new CallerReply.Chunk(12, Payload.of("text"))),
        new PeerMessage.ForwardReply(
            77, new CallerReply.Completed(Payload.of("all"), new Usage(1, 2, 3), 4)),
        new PeerMessage.ForwardReply(77, new CallerReply.Failed(ErrorKind.OVERLOADED, "full", 500)),
        new PeerMessage.ForwardReply(77, new CallerReply.NotLeader()),
        new PeerMessage.ForwardReply(77, new CallerReply.Accepted()),
        new PeerMessage.ForwardCancel(77, 5),
        new PeerMessage.ConfigurationDocument(12, Payload.of("{}")),
        new PeerMessage.EngineReports(
            List.of(new EngineReport("engine", 5, 3, 2, 1_000, EngineReport.Status.LEAVING))),
        new PeerMessage.CacheInventory(5, "engine", List.of("p1", "p2")));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messageComesBack(PeerMessage message) {
    byte[] bytes = new PeerMessageEncoder().encode(message);
    assertEquals(message, new PeerMessageDecoder().decode(bytes));
  }

  @ParameterizedTest
  @MethodSource("records")
  void recordComesBack(LogRecord record) {
    LogRecordCodec codec = new LogRecordCodec();
    assertEquals(record, codec.decode(codec.encode(record)));
  }

  @Test
  void bytesOfAnotherSchemaAreRefused() {
    assertThrows(
        IllegalArgumentException.class, () -> new PeerMessageDecoder().decode(new byte[64]));
  }
}
