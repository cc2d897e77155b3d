package org.baykeel.gateway.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.program.RequestFingerprint;

/**
 * The ends of engines that this node knows of. They expire after a time; beyond a number the oldest
 * are evicted.
 *
 * <p>Invariant: what was withdrawn is not recorded again by a report of an earlier time, since
 * reports are repeated and may arrive late.
 */
final class EngineEndHistory {
  /** How long an end is evidence against the requests that the engine was running: 30 minutes. */
  static final long LIFETIME_NANOS = 1_800_000_000_000L;

  private static final int MAX_ENDS = 512;

  private final Map<EngineIncarnation, EngineEnd> ends = new HashMap<>();

  private final Withdrawals<EngineIncarnation> runningEngines = new Withdrawals<>();
  private final Withdrawals<RequestFingerprint> completedRequests = new Withdrawals<>();
  private BlameAssessment assessment = new BlameAssessment(List.of());
  private boolean assessed = true;
  private long changes;

  /** Returns whether no end is recorded. */
  boolean isEmpty() {
    return ends.isEmpty();
  }

  /**
   * Adds what a node knows of an end.
   *
   * @return whether any of it was new
   */
  boolean add(
      EngineIncarnation engine, long endedNanos, List<RequestFingerprint> requests, long nowNanos) {
    evict(nowNanos);
    if (nowNanos - endedNanos > LIFETIME_NANOS || runningEngines.cover(engine, endedNanos)) {
      return false;
    }
    EngineEnd end = ends.get(engine);
    boolean added = end == null;
    if (added) {
      end = new EngineEnd(engine, endedNanos);
      ends.put(engine, end);
      removeOldestBeyondLimit();
    }
    List<RequestFingerprint> suspected =
        requests.stream().filter(request -> !completedRequests.cover(request, endedNanos)).toList();
    boolean changed = end.add(suspected) || added;
    if (changed) {
      onChange();
    }
    return changed;
  }

  private void onChange() {
    assessed = false;
    changes++;
  }

  /** Returns a number that differs after each change. */
  long changes() {
    return changes;
  }

  /** Returns the recorded ends. */
  Collection<EngineEnd> ends() {
    return Collections.unmodifiableCollection(ends.values());
  }

  /** Returns the latest requests that completed, up to a number. */
  List<Withdrawals.Withdrawal<RequestFingerprint>> completed(int count, long nowNanos) {
    return completedRequests.latest(count, nowNanos - LIFETIME_NANOS);
  }

  /** Returns the latest engines whose ends were withdrawn, up to a number. */
  List<Withdrawals.Withdrawal<EngineIncarnation>> running(int count, long nowNanos) {
    return runningEngines.latest(count, nowNanos - LIFETIME_NANOS);
  }

  private void removeOldestBeyondLimit() {
    if (ends.size() > MAX_ENDS) {
      ends.remove(sorted().get(0).engine());
    }
  }

  /**
   * Removes the end of an engine that has not ended.
   *
   * @param respondedNanos when it responded, by the event loop's clock
   * @return whether it was recorded
   */
  boolean withdraw(EngineIncarnation engine, long respondedNanos) {
    runningEngines.record(engine, respondedNanos);
    EngineEnd end = ends.get(engine);
    boolean withdrawn = end != null && runningEngines.cover(engine, end.endedNanos());
    if (withdrawn) {
      ends.remove(engine);
      onChange();
    }
    return withdrawn;
  }

  /**
   * Withdraws the suspicion of a request.
   *
   * @param completedNanos when it completed, by the event loop's clock
   * @return whether it was suspected
   */
  boolean clear(RequestFingerprint request, long completedNanos) {
    completedRequests.record(request, completedNanos);
    boolean cleared = false;
    for (EngineEnd end : ends.values()) {
      cleared |= completedRequests.cover(request, end.endedNanos()) && end.clear(request);
    }
    if (cleared) {
      onChange();
    }
    return cleared;
  }

  /** Returns the end of an engine, or null. */
  EngineEnd find(EngineIncarnation engine) {
    return ends.get(engine);
  }

  /** Returns the latest ends, up to a number. */
  List<EngineEnd> latest(int count) {
    List<EngineEnd> sorted = sorted();
    return sorted.subList(Math.max(0, sorted.size() - count), sorted.size());
  }

  /** Returns the identifiers of the engines that ended while they ran a request. */
  List<String> enginesThatRan(RequestFingerprint request) {
    return sorted().stream()
        .filter(end -> end.ran(request))
        .map(end -> end.engine().id().value())
        .toList();
  }

  /** Returns the recorded ends of engines that ran a request. */
  List<EngineEnd> endsUnder(RequestFingerprint request) {
    return ends.values().stream().filter(end -> end.ran(request)).toList();
  }

  /** Returns whether a request completed after a time. */
  boolean completedAfter(RequestFingerprint request, long nanos) {
    return completedRequests.cover(request, nanos);
  }

  /** Returns the assessment of all ends that have not expired. */
  BlameAssessment assessment(long nowNanos) {
    evict(nowNanos);
    if (!assessed) {
      assessment = new BlameAssessment(sorted());
      assessed = true;
    }
    return assessment;
  }

  private void evict(long nowNanos) {
    boolean evicted = ends.values().removeIf(end -> nowNanos - end.endedNanos() > LIFETIME_NANOS);
    if (evicted) {
      onChange();
    }
  }

  private List<EngineEnd> sorted() {
    List<EngineEnd> sorted = new ArrayList<>(ends.values());
    sorted.sort(
        Comparator.comparingLong(EngineEnd::endedNanos)
            .thenComparing(end -> end.engine().id().value()));
    return sorted;
  }
}
