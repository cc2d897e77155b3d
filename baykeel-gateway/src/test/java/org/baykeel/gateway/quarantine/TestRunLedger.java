package org.baykeel.gateway.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.peer.RunPhase;
import org.baykeel.gateway.program.RequestFingerprint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestRunLedger {
  private static final long NOW = 5_000_000_000L;
  private static final long LIFETIME_NANOS = 10_000_000_000L;
  private static final int ENGINES = 8;

  private final RunLedger ledger = new RunLedger();

  private static RequestFingerprint request(int number) {
    return new RequestFingerprint((long) number << 48 | number);
  }

  private static EngineIncarnation engine(int number) {
    return new EngineIncarnation(new EngineId("e" + number % ENGINES), 1);
  }

  private static PeerRun run(int id, int request, RunPhase phase, long expiresNanos) {
    return new PeerRun(id, request(request), engine(id), phase, 0, NOW, expiresNanos);
  }

  private static List<Long> ids(List<PeerRun> runs) {
    return runs.stream().map(PeerRun::id).toList();
  }

  private void put(int id, int request, RunPhase phase) {
    ledger.put(run(id, request, phase, NOW + LIFETIME_NANOS), NOW);
  }

  /** Guards against searches that look at all runs: their work grows with its square. */
  @ParameterizedTest(name = "{0} runs of other requests")
  @ValueSource(ints = {10, 100, 1_000})
  void aSearchLooksAtNoOtherRuns(int others) {
    for (int id = 1; id <= others; id++) {
      put(id, id, RunPhase.OPEN);
    }
    put(others + 1, others + 1, RunPhase.OPEN);
    long examinedBefore = ledger.peerRunsExamined();
    assertEquals(List.of(others + 1L), ids(ledger.peerRunsOf(request(others + 1), NOW)));
    assertEquals(List.of(), ids(ledger.peerRunsOf(request(others + 2), NOW)));
    assertFalse(ledger.clear(request(others + 1), NOW));
    put(others + 2, others + 2, RunPhase.OPEN);
    put(others + 2, others + 2, RunPhase.CLOSED);
    assertEquals(2, ledger.peerRunsExamined() - examinedBefore);
  }

  @Test
  void findsRunsByRequestAndByEngine() {
    put(1, 7, RunPhase.OPEN);
    put(2, 7, RunPhase.OPEN);
    put(1 + ENGINES, 9, RunPhase.OPEN);
    assertEquals(List.of(1L, 2L), ids(ledger.peerRunsOf(request(7), NOW)));
    assertEquals(List.of(1L, 1L + ENGINES), ids(ledger.peerRunsAt(engine(1), NOW)));
    assertTrue(ledger.hasHead(request(7).head()));
  }

  @Test
  void aLaterNoticeReplacesARun() {
    put(1, 7, RunPhase.OPEN);
    put(2, 7, RunPhase.OPEN);
    put(1, 7, RunPhase.UNRESOLVED);
    assertEquals(List.of(2L, 1L), ids(ledger.peerRunsOf(request(7), NOW)));
    assertEquals(RunPhase.UNRESOLVED, ledger.findPeerRun(1, NOW).phase());
    put(1, 7, RunPhase.CLOSED);
    put(2, 7, RunPhase.COMPLETED);
    assertEquals(List.of(), ledger.peerRuns(NOW));
    assertEquals(List.of(), ledger.peerRunsAt(engine(1), NOW));
    assertFalse(ledger.hasHeads());
  }

  @Test
  void aRunCountsUntilItsNoticeExpires() {
    ledger.put(run(1, 7, RunPhase.OPEN, NOW + 2), NOW);
    ledger.put(run(2, 7, RunPhase.OPEN, NOW + 1), NOW);
    ledger.put(run(3, 7, RunPhase.OPEN, NOW + 3), NOW);
    assertEquals(List.of(1L, 2L, 3L), ids(ledger.peerRunsOf(request(7), NOW + 1)));
    assertEquals(List.of(1L, 3L), ids(ledger.peerRunsOf(request(7), NOW + 2)));
    assertEquals(List.of(3L), ids(ledger.peerRuns(NOW + 3)));
    assertNull(ledger.findPeerRun(3, NOW + 4));
    assertEquals(List.of(), ids(ledger.peerRunsAt(engine(3), NOW + 4)));
    assertFalse(ledger.hasHeads());
  }
}
