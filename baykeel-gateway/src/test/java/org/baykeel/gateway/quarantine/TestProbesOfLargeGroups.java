package org.baykeel.gateway.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.program.RequestFingerprint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TestProbesOfLargeGroups {
  private static final int SECONDS = 10;
  private static final int ENGINES = 4;

  /** A node knows within this time that it is cut off, and has read the rows. */
  private static final long KNOWN_MILLIS = 130;

  /**
   * Guards against work that nodes without any request do for each other and that uses up the
   * processor time of a large group: a node of a group of any size sends, and a timer of it runs,
   * at most so often a second.
   */
  @ParameterizedTest(name = "{0} nodes")
  @CsvSource({"11, 80, 45", "30, 40, 25", "77, 40, 25"})
  void idleNodesSendFewProbes(int nodes, int maxDatagrams, int maxTimers) {
    QuarantineNodes group = new QuarantineNodes(nodes, ENGINES);
    long datagrams = group.network().sentDatagrams();
    long timers = group.eventLoop().tasksRun();
    group.eventLoop().advance(SECONDS * 1_000);
    double sent = (group.network().sentDatagrams() - datagrams) / (double) (SECONDS * nodes);
    assertTrue(sent <= maxDatagrams, () -> sent + " datagrams a second and node");
    // The test network schedules the delivery of each datagram.
    double run = (group.eventLoop().tasksRun() - timers) / (double) (SECONDS * nodes) - sent;
    assertTrue(run <= maxTimers, () -> run + " timers a second and node");
  }

  /** A sample shows as soon that a node is cut off as all peers do, but for its longer interval. */
  @ParameterizedTest(name = "{0} nodes")
  @ValueSource(ints = {12, 30, 77})
  void nodeOfLargeGroupThatIsCutOffKnowsItSoon(int nodes) {
    QuarantineNodes group = new QuarantineNodes(nodes, ENGINES);
    PeerAddress cutOff = group.nodes().get(0).address();
    assertEquals(Verdict.CLEAR, claimAtFirst(group));
    for (QuarantineNodes.Node node : group.nodes()) {
      group.network().cut(cutOff, node.address(), true);
      group.network().cut(node.address(), cutOff, true);
    }
    group.eventLoop().advance(KNOWN_MILLIS);
    assertEquals(Verdict.UNDECIDED, claimAtFirst(group));
  }

  private static Verdict claimAtFirst(QuarantineNodes group) {
    byte[] work = "innocent".getBytes(StandardCharsets.UTF_8);
    return group.nodes().get(0).quarantine().newRun(new RequestFingerprint.Builder(work)).claim();
  }
}
