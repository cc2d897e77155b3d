package org.baykeel.gateway.urgency;

import java.util.LinkedHashMap;
import java.util.Map;
import org.baykeel.gateway.scheduling.StableHash;

/**
 * Ranks requests by the time that remains until the finish target of their program, and within an
 * urgency level by kind, which is the priority of the request's route and tenant.
 *
 * <p>Programs in progress rank before programs that start, since only complete programs are useful,
 * and among them those with little time left rank first. A program that has missed its finish
 * target ranks behind all that can still meet theirs. A program becomes more urgent by itself as
 * its time runs out, and no more programs can be in progress than were started, so programs that
 * start are always served eventually. Within a level one in {@value #PROMOTED_ONE_IN} requests of a
 * less urgent kind, selected by a hash of the request identifier, is ranked like the most urgent
 * kind, so that no amount of urgent work starves a kind. All requests of a program, including those
 * of its sub-agents, are ranked by the program's finish target; neither their size nor the load of
 * their tenant counts.
 */
public final class ProgramUrgency implements Urgency {
  /**
   * One in this many requests of a less urgent kind is ranked like the most urgent kind, so that
   * its kind is served at least a third as often as the most urgent kind of its level.
   */
  static final int PROMOTED_ONE_IN = 3;

  /** A program is near its finish target if less than this fraction of its time remains. */
  private static final double NEAR_TARGET_FRACTION = 1.0 / 3;

  /**
   * A program that is new to this node is assumed to have started at another node if the time until
   * its finish target is less than this fraction of the usual one of its route.
   */
  private static final double FIRST_TURN_FRACTION = 0.5;

  /**
   * A program that started at this node is overdue once it has taken this multiple of the time that
   * it had when it started.
   */
  private static final double OVERDUE_FACTOR = 2;

  /**
   * The maximum number of programs that are tracked; the one without a request for the longest time
   * is evicted first.
   */
  private static final int MAX_PROGRAMS = 1_024;

  private final FinishTargetByRoute finishTargets = new FinishTargetByRoute();
  private final Map<String, SeenProgram> programs =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SeenProgram> eldest) {
          return size() > MAX_PROGRAMS;
        }
      };

  /**
   * A program as it was when this node first ranked a request of it.
   *
   * @param firstTurnRequestId the request with which it started; null if it started at another node
   * @param targetMillis the time from its start until its finish target, estimated if it started at
   *     another node; 0 if not known
   * @param seenNanos when this node first ranked a request of it
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
    return request.remainingMillis() < program.targetMillis() * NEAR_TARGET_FRACTION
        ? UrgencyLevel.NEAR_TARGET
        : UrgencyLevel.UNDER_WAY;
  }

  private SeenProgram firstSeen(RankedRequest request, long nowNanos) {
    long remaining = request.remainingMillis();
    double usualTarget = finishTargets.usualMillis(request.route());
    boolean firstTurn =
        request.mayBeFirstTurn() && remaining > 0 && remaining >= usualTarget * FIRST_TURN_FRACTION;
    if (request.mayBeFirstTurn() && remaining > 0) {
      finishTargets.observe(request.route(), remaining);
    }
    return firstTurn
        ? new SeenProgram(request.requestId(), remaining, nowNanos)
        : new SeenProgram(null, usualTarget == 0 ? 0 : Math.max(usualTarget, remaining), nowNanos);
  }
}
