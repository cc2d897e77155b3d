package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baykeel.gateway.program.RequestFingerprint;

/**
 * Assesses which requests made engines end. An assessment depends only on the recorded ends, so
 * nodes with the same records agree.
 *
 * <p>Ends within a short time form one moment. An end blames each request that the engine was
 * running. The blame is smaller if another engine ended in the same moment without that request and
 * without a request that was blamed before: then a cause outside of the engines is likely, such as
 * the failure of a rack. Once a request is found to be fatal, the ends under it blame no other
 * request.
 *
 * <p>While engines also end without a request that ran beside others, it may have run beside the
 * causes of several ends. Then it counts as fatal only if it ran alone at all but one of its
 * engines.
 */
final class BlameAssessment {
  /** The longest time between the first and the last end of one moment. */
  static final long MOMENT_NANOS = 100_000_000L;

  /** The blame of an end for which a request may be the only cause. */
  private static final int BLAME_OF_END = 2;

  /** The blame of a moment that is likely to have a cause outside of the engines. */
  private static final int BLAME_OF_SHARED_CAUSE = 1;

  /** The blame of three ends, from which on a request counts as fatal. */
  private static final int FATAL_BLAME = 3 * BLAME_OF_END;

  /** The blame of ends under a request alone that is needed while engines also end without it. */
  private static final int MIN_BLAME_ALONE = FATAL_BLAME - BLAME_OF_END;

  /** The number of ends from which on a request beside another one may be the cause instead. */
  private static final int RIVAL_ENDS = 2;

  private static final int MAX_PASSES = 64;

  private final List<List<EngineEnd>> moments;
  private final Map<RequestFingerprint, Suspect> suspects = new HashMap<>();
  private final Set<RequestFingerprint> fatal = new LinkedHashSet<>();

  /** The evidence against one request. */
  private static final class Suspect {
    private int blame;
    private int blameAlone;
    private int moments;
    private long lastEndedNanos;

    private void add(int blameOfMoment, int blameOfMomentAlone, long endedNanos) {
      blame += blameOfMoment;
      blameAlone += blameOfMomentAlone;
      moments++;
      lastEndedNanos = endedNanos;
    }
  }

  /**
   * Creates an assessment.
   *
   * @param ends the recorded ends, earliest first
   */
  BlameAssessment(List<EngineEnd> ends) {
    this.moments = moments(ends);
    int passes = 0;
    while (assess() && passes < MAX_PASSES) {
      passes++;
    }
  }

  private static List<List<EngineEnd>> moments(List<EngineEnd> ends) {
    List<List<EngineEnd>> moments = new ArrayList<>();
    for (EngineEnd end : ends) {
      List<EngineEnd> last = moments.isEmpty() ? null : moments.get(moments.size() - 1);
      if (last == null || end.endedNanos() - last.get(0).endedNanos() > MOMENT_NANOS) {
        last = new ArrayList<>();
        moments.add(last);
      }
      last.add(end);
    }
    return moments;
  }

  /**
   * Assesses the moments in order, up to the first one in which requests are found to be fatal.
   *
   * @return whether there was such a moment: the ends under these requests blame no other one, so
   *     that all moments must be assessed again
   */
  private boolean assess() {
    suspects.clear();
    for (List<EngineEnd> moment : moments) {
      Map<RequestFingerprint, Integer> blames = new LinkedHashMap<>();
      for (EngineEnd end : moment) {
        for (RequestFingerprint request : end.requests()) {
          blames.computeIfAbsent(request, any -> blameOf(request, moment));
        }
      }
      long endedNanos = moment.get(moment.size() - 1).endedNanos();
      blames.forEach(
          (request, blame) -> {
            if (blame > 0) {
              suspects
                  .computeIfAbsent(request, any -> new Suspect())
                  .add(blame, Math.min(blame, blameAlone(request, moment)), endedNanos);
            }
          });
      List<RequestFingerprint> found = blames.keySet().stream().filter(this::becomesFatal).toList();
      if (!found.isEmpty()) {
        fatal.addAll(found);
        return true;
      }
    }
    return false;
  }

  /** Returns whether a fatal request explains an end, other than the given one. */
  private boolean explains(EngineEnd end, RequestFingerprint request) {
    return !fatal.contains(request) && !Collections.disjoint(end.requests(), fatal);
  }

  private int blameOf(RequestFingerprint request, List<EngineEnd> moment) {
    int ends = 0;
    boolean sharedCause = false;
    for (EngineEnd end : moment) {
      boolean explained = explains(end, request);
      if (end.ran(request) && !explained) {
        ends++;
      }
      sharedCause |= !end.ran(request) && !explained && !ranSuspect(end);
    }
    if (ends == 0) {
      return 0;
    }
    return sharedCause ? BLAME_OF_SHARED_CAUSE : ends * BLAME_OF_END;
  }

  private int blameAlone(RequestFingerprint request, List<EngineEnd> moment) {
    int ends = 0;
    for (EngineEnd end : moment) {
      ends += end.ran(request) && end.requests().size() == 1 ? 1 : 0;
    }
    return ends * BLAME_OF_END;
  }

  private boolean ranSuspect(EngineEnd end) {
    return !Collections.disjoint(end.requests(), suspects.keySet());
  }

  /**
   * A request becomes fatal unless another one, equally blamed, ran beside it at several of its
   * engines, so that either may be the cause, or engines also end without it, so that it may have
   * run beside several causes.
   */
  private boolean becomesFatal(RequestFingerprint request) {
    return blame(request) >= FATAL_BLAME
        && !fatal.contains(request)
        && !hasRival(request)
        && (blameAlone(request) >= MIN_BLAME_ALONE || !enginesEndWithout(request));
  }

  private boolean enginesEndWithout(RequestFingerprint request) {
    return moments.stream()
        .flatMap(List::stream)
        .anyMatch(end -> !end.ran(request) && !explains(end, request));
  }

  private boolean hasRival(RequestFingerprint request) {
    Map<RequestFingerprint, Integer> endsBeside = new HashMap<>();
    for (List<EngineEnd> moment : moments) {
      for (EngineEnd end : moment) {
        if (end.ran(request) && !explains(end, request)) {
          end.requests().forEach(other -> endsBeside.merge(other, 1, Integer::sum));
        }
      }
    }
    endsBeside.remove(request);
    return endsBeside.entrySet().stream()
        .filter(beside -> beside.getValue() >= RIVAL_ENDS)
        .anyMatch(beside -> blame(beside.getKey()) >= blame(request));
  }

  /** Returns the blame of a request; 0 if it is no suspect. */
  int blame(RequestFingerprint request) {
    Suspect suspect = suspects.get(request);
    return suspect == null ? 0 : suspect.blame;
  }

  /** Returns the blame of the ends at which a request ran alone. */
  int blameAlone(RequestFingerprint request) {
    Suspect suspect = suspects.get(request);
    return suspect == null ? 0 : suspect.blameAlone;
  }

  /** Returns whether a request made at least three engines end. */
  boolean isFatal(RequestFingerprint request) {
    return fatal.contains(request);
  }

  /** Returns whether all ends that blame a request were in one moment. */
  boolean isBlamedOnce(RequestFingerprint request) {
    return suspects.containsKey(request) && suspects.get(request).moments == 1;
  }

  /** Returns when the last engine that was running a suspect ended. */
  long lastEndedNanos(RequestFingerprint request) {
    return suspects.get(request).lastEndedNanos;
  }

  Set<RequestFingerprint> fatal() {
    return Collections.unmodifiableSet(fatal);
  }

  Set<RequestFingerprint> suspects() {
    return Collections.unmodifiableSet(suspects.keySet());
  }
}
