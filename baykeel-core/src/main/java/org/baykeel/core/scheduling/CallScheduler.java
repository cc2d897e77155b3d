package org.baykeel.core.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The queue of model calls of all shards that this node leads. Its length is bounded; when it is
 * full, a call that outranks the last one takes its place and the other is refused at once.
 */
public final class CallScheduler {
  private static final int RETRY_AFTER_PER_WAITING_MILLIS = 50;
  private static final int RETRY_AFTER_MINIMUM_MILLIS = 500;

  private final EngineDirectory directory;
  private final EngineSelector selector;
  private final int maximumWaiting;
  private final boolean byProgram;
  private final Set<WaitingCall> waiting = new LinkedHashSet<>();

  /**
   * A scheduler.
   *
   * @param maximumWaiting most calls in the queue
   * @param byProgram true to order by program priority, false for first come, first served
   */
  public CallScheduler(
      EngineDirectory directory, EngineSelector selector, int maximumWaiting, boolean byProgram) {
    this.directory = requireNonNull(directory, "directory");
    this.selector = requireNonNull(selector, "selector");
    this.maximumWaiting = maximumWaiting;
    this.byProgram = byProgram;
  }

  /** Number of waiting calls. */
  public int waitingCalls() {
    return waiting.size();
  }

  /** When a refused caller should come back, from the present queue. */
  public int retryAfterMillis() {
    return RETRY_AFTER_MINIMUM_MILLIS + waiting.size() * RETRY_AFTER_PER_WAITING_MILLIS;
  }

  /** Takes a call into the queue, or displaces it or a lower one if the queue is full. */
  public void submit(WaitingCall call, long nowMillis) {
    waiting.add(call);
    if (waiting.size() > maximumWaiting) {
      WaitingCall last = Collections.max(waiting, order(nowMillis));
      waiting.remove(last);
      last.displaced(retryAfterMillis(), nowMillis);
    }
  }

  /** Takes a call out of the queue. */
  public void withdraw(WaitingCall call) {
    waiting.remove(call);
  }

  /** Dispatches what can be dispatched. */
  public void dispatchWaiting(long nowMillis) {
    if (waiting.isEmpty()) {
      return;
    }
    List<WaitingCall> ordered = new ArrayList<>(waiting);
    ordered.sort(order(nowMillis));
    Set<String> fullModels = new HashSet<>();
    for (WaitingCall call : ordered) {
      String model = call.demand().model();
      if (fullModels.contains(model) || !waiting.contains(call)) {
        continue;
      }
      EngineView choice = choose(call, nowMillis);
      if (choice == null) {
        fullModels.add(model);
      } else {
        waiting.remove(call);
        call.dispatchTo(choice.engine().name(), nowMillis);
      }
    }
  }

  private EngineView choose(WaitingCall call, long nowMillis) {
    List<EngineView> candidates =
        directory.candidates(
            call.demand().model(), call.cachedOn(), call.cachedTokens(), nowMillis);
    return candidates.isEmpty() ? null : selector.select(call.demand(), candidates);
  }

  private Comparator<WaitingCall> order(long nowMillis) {
    if (!byProgram) {
      return Comparator.comparingLong(WaitingCall::waitingSinceMillis);
    }
    return Comparator.comparingLong((WaitingCall call) -> ProgramPriority.rank(call, nowMillis))
        .thenComparingLong(WaitingCall::waitingSinceMillis);
  }
}
