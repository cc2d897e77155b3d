package org.baykeel.gateway.urgency;

import java.util.LinkedHashMap;
import java.util.Map;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * Ranks requests by the time that their programs have left until their latency target, and within
 * an urgency level by kind.
 *
 * <p>Programs in progress rank before programs that start, since only complete programs are useful,
 * and among them those with little time left rank first. A program that has missed its target ranks
 * behind all that can still meet theirs. A program becomes more urgent by itself as its time runs
 * out, and the number of programs in progress is limited by the number of those started, so
 * programs that start are always served eventually. Within a level one in {@value #PROMOTED_ONE_IN}
 * requests of a less urgent kind, selected by a hash of the request identifier, is ranked like the
 * most urgent kind, so that no amount of urgent work starves a kind. All requests of a program,
 * including those of its sub-agents, are ranked by the program's target; neither their size nor the
 * load of their tenant counts.
 */
public final class ProgramUrgency implements Urgency {
  /**
   * One in this many requests of a less urgent kind is ranked like the most urgent kind, so that
   * its kind is served at least a third as often as the most urgent kind of its level.
   */
  static final int PROMOTED_ONE_IN = 3;

  /** A program with less than this part of its time left is near its target. */
  private static final double NEAR_TARGET_PART = 1.0 / 3;

  /**
   * A program that is new to this node but has less than this part of the usual time left has most
   * likely started at another node.
   */
  private static final double FIRST_TURN_PART = 0.5;

  /** A program is overdue once it has taken this multiple of the time that it had. */
  private static final double OVERDUE_FACTOR = 2;

  /**
   * The number of programs that are tracked; the one without a request for the longest time is
   * evicted first.
   */
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
   * A program as it was when a request of it first arrived at this node.
   *
   * @param firstTurnRequestId the request with which it started; null if it started elsewhere
   * @param targetMillis the time that it had when it started, estimated if it started elsewhere; 0
   *     if not known
   * @param seenNanos when its first request arrived at this node
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
