package org.baykeel.gateway.resumption;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerDirectory;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.peer.PeerMessage;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.StreamVersionEvidence;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingPeerNetwork;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.topology.Topology;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against replies that are attributed to a query which they do not belong to. */
class TestRegistrarQueries {
  private static final int PEERS = 4;
  private static final long LONG_MILLIS = 1_000;
  private static final PeerAddress OWN = new PeerAddress("10.0.0.99", 7_000);
  private static final PeerAddress STRANGER = new PeerAddress("10.0.9.9", 7_000);
  private static final SoftwareVersion RIGHT = new SoftwareVersion("v1");
  private static final SoftwareVersion WRONG = new SoftwareVersion("v2");

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final PeerMessageCodec codec = new PeerMessageCodec();
  private final List<PeerAddress> peers = new ArrayList<>();
  private final List<Long> queryIds = new ArrayList<>();
  private final List<RegistrarQueries.Answers> answers = new ArrayList<>();
  private RegistrarQueries queries;

  @BeforeEach
  void start() {
    PeerDirectory directory =
        new PeerDirectory(
            "n",
            OWN,
            new TestingStore(eventLoop),
            eventLoop,
            new TestingPeerNetwork(eventLoop).transportOf(OWN),
            codec,
            Topology.ofOneRegion("z"),
            (event, fields) -> {});
    for (int i = 0; i < PEERS; i++) {
      PeerAddress peer = new PeerAddress("10.0.0." + i, 7_000);
      peers.add(peer);
      directory.onSender(peer);
    }
    queries = incarnation(directory);
  }

  private RegistrarQueries incarnation(PeerDirectory directory) {
    return new RegistrarQueries(
        new StreamRegistrars(directory),
        (receiver, datagram) -> recordQuery(datagram),
        codec,
        PeerLatency.ZERO,
        eventLoop);
  }

  private void recordQuery(byte[] datagram) {
    PeerMessage sent = codec.decode(datagram).orElseThrow();
    queryIds.add(((PeerMessage.StreamVersionQuery) sent).queryId());
  }

  private long ask(String requestId) {
    queries.ofStream(requestId, "s", RegistrarQueries.TIMEOUT_MILLIS, answers::add);
    assertEquals(PEERS, queryIds.size(), "one query to each peer");
    long id = queryIds.get(0);
    queryIds.clear();
    return id;
  }

  private void reply(PeerAddress sender, long id, StreamVersionEvidence evidence) {
    SoftwareVersion version = evidence == StreamVersionEvidence.ONLY_VERSION ? RIGHT : WRONG;
    queries.onReply(sender, new PeerMessage.StreamVersionReply(id, evidence, version));
  }

  @Test
  void replyToAnEarlierQueryIsIgnored() {
    long earlier = ask("r1");
    eventLoop.advance(LONG_MILLIS);
    assertEquals(1, answers.size());
    long present = ask("r2");
    peers.forEach(peer -> reply(peer, earlier, StreamVersionEvidence.RECORD));
    assertEquals(1, answers.size());
    peers.forEach(peer -> reply(peer, present, StreamVersionEvidence.ONLY_VERSION));
    assertEquals(2, answers.size());
    assertEquals(Optional.empty(), answers.get(1).recorded());
    assertEquals(Set.of(RIGHT), answers.get(1).onlyVersions());
  }

  @Test
  void replyOfANodeThatWasNotQueriedIsIgnored() {
    long id = ask("r1");
    reply(STRANGER, id, StreamVersionEvidence.RECORD);
    reply(OWN, id, StreamVersionEvidence.RECORD);
    assertTrue(answers.isEmpty());
    eventLoop.advance(LONG_MILLIS);
    assertEquals(List.of(RegistrarQueries.Answers.NONE), answers);
  }

  @Test
  void secondReplyOfANodeDoesNotStandForThatOfAnother() {
    long id = ask("r1");
    for (int copy = 0; copy < PEERS; copy++) {
      reply(peers.get(0), id, StreamVersionEvidence.ONLY_VERSION);
    }
    assertTrue(answers.isEmpty());
    peers.subList(1, PEERS).forEach(peer -> reply(peer, id, StreamVersionEvidence.NONE));
    assertTrue(answers.get(0).withoutEvidence());
    peers.forEach(peer -> reply(peer, id, StreamVersionEvidence.RECORD));
    assertEquals(1, answers.size());
  }
}
