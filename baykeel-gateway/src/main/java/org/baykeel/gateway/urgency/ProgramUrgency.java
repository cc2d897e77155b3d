package org.baykeel.gateway.urgency;

import java.util.LinkedHashMap;
import java.util.Map;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * Ranks requests by how their programs stand against their time, and within a standing by kind.
 *
 * <p>Programs under way go before those that begin, since only whole programs are of use, and among
 * them those with little time left; a program whose time has passed goes behind all that can still
 * end in theirs. A program gets more urgent by itself as its time runs down, and what is under way
 * is bounded by what was begun, so beginnings are always reached. Within a standing each request of
 * a less urgent kind has one chance in {@value #FAVOURED_ONE_IN}, by a hash of its identifier, to
 * be ranked like the most urgent kind, so that no amount of urgent work keeps a kind out. All
 * requests of a program, its sub-agents' among them, are ranked by the program's time; neither
 * their size nor their tenant's load counts.
 */
public final class ProgramUrgency implements Urgency {
  /**
   * One in so many requests of a less urgent kind is taken for one of the most urgent, so that its
   * kind is served at least a third as often as the most urgent one of its standing.
   */
  static final int PROMOTED_ONE_IN = 3;

  /** A program with less than this part of its time left is ending. */
  private static final double NEAR_TARGET_PART = 1.0 / 3;

  /**
   * A program that is new here, but has less than this part of the usual time left, has most likely
   * begun at another node.
   */
  private static final double FIRST_TURN_PART = 0.5;

  /** A program is overdue once it has taken so many times the time that it had. */
  private static final double OVERDUE_FACTOR = 2;

  /** Programs that are remembered; those unheard of for longest go first. */
  private static final int MAX_PROGRAMS = 1_024;

  private final FinishTargetByRoute latencyTargets = new FinishTargetByRoute();
  private final Map<String, SeenProgram> programs =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SeenProgram> eldest) {
          return size() > MAX_PROGRAMS;
        }
      };

  /**
   * A program as it was when a request of it first came here.
   *
   * @param firstTurnRequestId the request with which it began; null if it began elsewhere
   * @param targetMillis the time that it had at its beginning, by estimate if it began elsewhere; 0
   *     if not known
   * @param seenNanos when it was first seen
   */
  private record SeenProgram(String firstTurnRequestId, double targetMillis, long seenNanos) {
    boolean overdue(long nowNanos) {
      return firstTurnRequestId != null
          && (nowNanos - seenNanos) / 1e6 > OVERDUE_FACTOR * targetMillis;
    }
  }

  @Override
  public int rankOf(RankedRequest request, long nowNanos) {
    return levelOf(request, nowNanos).rank(promoted(request) ? 0 : request.kindRank());
  }

  private static boolean promoted(RankedRequest request) {
    return Math.floorMod(StableHash.of(request.requestId()), PROMOTED_ONE_IN) == 0;
  }

  private UrgencyLevel levelOf(RankedRequest request, long nowNanos) {
    if (!request.timed()) {
      return request.stream() ? UrgencyLevel.STARTING : UrgencyLevel.UNDER_WAY;
    }
    SeenProgram program = programs.get(request.program());
    if (program == null) {
      program = firstSeen(request, nowNanos);
      programs.put(request.program(), program);
    }
    if (request.remainingMillis() == 0) {
      return program.overdue(nowNanos) ? UrgencyLevel.OVERDUE : UrgencyLevel.LATE;
    }
    if (request.requestId().equals(program.firstTurnRequestId())) {
      return UrgencyLevel.STARTING;
    }
    return request.remainingMillis() < program.targetMillis() * NEAR_TARGET_PART
        ? UrgencyLevel.NEAR_TARGET
        : UrgencyLevel.UNDER_WAY;
  }

  private SeenProgram firstSeen(RankedRequest request, long nowNanos) {
    long remaining = request.remainingMillis();
    double usualTarget = latencyTargets.usualMillis(request.route());
    boolean firstTurn =
        request.mayBeFirstTurn() && remaining > 0 && remaining >= usualTarget * FIRST_TURN_PART;
    if (request.mayBeFirstTurn() && remaining > 0) {
      latencyTargets.observe(request.route(), remaining);
    }
    return firstTurn
        ? new SeenProgram(request.requestId(), remaining, nowNanos)
        : new SeenProgram(null, usualTarget == 0 ? 0 : Math.max(usualTarget, remaining), nowNanos);
  }
}
