package org.baykeel.gateway.storage;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * The latest time at which this process's copy of a table is known to have been current.
 *
 * <p>Invariant: every change that the store acknowledged before that time has been adopted by now.
 * The time never decreases, whatever happens to the process or to its connection to the store. So a
 * request that arrives within a limit after that time was sent at most that limit after any change
 * that this process has not received.
 */
public final class TableFreshness {
  private final EventLoop eventLoop;
  private final List<Waiter> waiters = new ArrayList<>();
  private Runnable check = () -> {};
  private boolean proven;
  private long provenNanos;

  /** A callback that waits until the copy is proven to be current as of some time. */
  private record Waiter(long sinceNanos, Consumer<Boolean> answer, EventLoop.Timer timeout) {}

  /**
   * Creates an instance without a proof.
   *
   * @param eventLoop the clock
   */
  public TableFreshness(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * Sets how the copy is compared with the store's table at once, without waiting for changes.
   *
   * @param newCheck starts a comparison, whose result is passed to {@link #recordProof}
   */
  public void setCheck(Runnable newCheck) {
    this.check = newCheck;
  }

  /** Starts a comparison of the copy with the store's table. */
  public void check() {
    check.run();
  }

  /**
   * Records a proof.
   *
   * @param nanos the time; all changes acknowledged before it have been adopted
   */
  public void recordProof(long nanos) {
    if (proven && nanos - provenNanos <= 0) {
      return;
    }
    proven = true;
    provenNanos = nanos;
    List<Waiter> satisfied = new ArrayList<>();
    for (Iterator<Waiter> each = waiters.iterator(); each.hasNext(); ) {
      Waiter candidate = each.next();
      if (provenSince(candidate.sinceNanos())) {
        each.remove();
        satisfied.add(candidate);
      }
    }
    for (Waiter each : satisfied) {
      each.timeout().cancel();
      each.answer().accept(true);
    }
    if (!waiters.isEmpty()) {
      check();
    }
  }

  /** Returns the nanoseconds since the proven time; {@link Long#MAX_VALUE} without a proof. */
  public long ageNanos() {
    return proven ? eventLoop.nanoTime() - provenNanos : Long.MAX_VALUE;
  }

  /**
   * Returns the age of the proof at a given time.
   *
   * @param nanos the time
   * @return the age in nanoseconds; negative if the copy is proven as of a later time, {@link
   *     Long#MAX_VALUE} without a proof
   */
  public long ageNanosAt(long nanos) {
    return proven ? nanos - provenNanos : Long.MAX_VALUE;
  }

  private boolean provenSince(long nanos) {
    return proven && provenNanos - nanos >= 0;
  }

  /**
   * Waits until the copy is proven to be current as of a given time.
   *
   * @param sinceNanos the time
   * @param timeoutMillis the longest wait in milliseconds
   * @param answer receives exactly once whether it is proven
   */
  public void await(long sinceNanos, long timeoutMillis, Consumer<Boolean> answer) {
    if (provenSince(sinceNanos)) {
      answer.accept(true);
      return;
    }
    Waiter[] waiter = new Waiter[1];
    EventLoop.Timer timeout =
        eventLoop.scheduleTimeLimit(timeoutMillis, () -> onTimeout(waiter[0]));
    waiter[0] = new Waiter(sinceNanos, answer, timeout);
    waiters.add(waiter[0]);
    check();
  }

  private void onTimeout(Waiter waiter) {
    if (waiters.remove(waiter)) {
      waiter.answer().accept(false);
    }
  }
}
