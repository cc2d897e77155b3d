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
  static final int FAVOURED_ONE_IN = 3;

  /** A program with less than this part of its time left is ending. */
  private static final double ENDING_PART = 1.0 / 3;

  /**
   * A program that is new here, but has less than this part of the usual time left, has most likely
   * begun at another node.
   */
  private static final double OPENING_PART = 0.5;

  /** A program is overdue once it has taken so many times the time that it had. */
  private static final double OVERDUE_TIMES = 2;

  /** Programs that are remembered; those unheard of for longest go first. */
  private static final int MAX_PROGRAMS = 1_024;

  private final FinishTargetByRoute aims = new FinishTargetByRoute();
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
   * @param openingRequest the request with which it began; null if it began elsewhere
   * @param aimMillis the time that it had at its beginning, by estimate if it began elsewhere; 0 if
   *     not known
   * @param seenNanos when it was first seen
   */
  private record SeenProgram(String openingRequest, double aimMillis, long seenNanos) {
    boolean overdue(long nowNanos) {
      return openingRequest != null && (nowNanos - seenNanos) / 1e6 > OVERDUE_TIMES * aimMillis;
    }
  }

  @Override
  public int rankOf(RankedRequest request, long nowNanos) {
    return standingOf(request, nowNanos).rank(favoured(request) ? 0 : request.kindRank());
  }

  private static boolean favoured(RankedRequest request) {
    return Math.floorMod(StableHash.of(request.requestId()), FAVOURED_ONE_IN) == 0;
  }

  private UrgencyLevel standingOf(RankedRequest request, long nowNanos) {
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
    if (request.requestId().equals(program.openingRequest())) {
      return UrgencyLevel.STARTING;
    }
    return request.remainingMillis() < program.aimMillis() * ENDING_PART
        ? UrgencyLevel.NEAR_TARGET
        : UrgencyLevel.UNDER_WAY;
  }

  private SeenProgram firstSeen(RankedRequest request, long nowNanos) {
    long left = request.remainingMillis();
    double usual = aims.usualMillis(request.route());
    boolean opening = request.mayBeFirstTurn() && left > 0 && left >= usual * OPENING_PART;
    if (request.mayBeFirstTurn() && left > 0) {
      aims.observe(request.route(), left);
    }
    return opening
        ? new SeenProgram(request.requestId(), left, nowNanos)
        : new SeenProgram(null, usual == 0 ? 0 : Math.max(usual, left), nowNanos);
  }
}
