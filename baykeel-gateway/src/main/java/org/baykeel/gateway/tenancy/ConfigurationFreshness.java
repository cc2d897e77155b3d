package org.baykeel.gateway.tenancy;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Up to which moment the configuration in force is known to have been the newest one.
 *
 * <p>Invariant: the operator had no newer configuration acknowledged before that moment than the
 * one that this process has adopted by now. It only ever rises, whatever becomes of the process or
 * its path to the store; so a request that arrives within a bound after it was sent within that
 * bound after every change that this process does not know.
 */
public final class ConfigurationFreshness {
  private final EventLoop eventLoop;
  private final List<Waiter> waiters = new ArrayList<>();
  private Runnable check = () -> {};
  private boolean recordProof;
  private long provenNanos;

  /** Somebody who needs the configuration to be proven as of some moment. */
  private record Waiter(long sinceNanos, Consumer<Boolean> answer, EventLoop.Timer timeout) {}

  /**
   * Creates a freshness of which nothing is known.
   *
   * @param eventLoop the clock
   */
  public ConfigurationFreshness(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * Sets how the configuration is compared with the store's without waiting for changes.
   *
   * @param newCheck begins a comparison; its result is told by {@link #proven}
   */
  public void setCheck(Runnable newCheck) {
    this.check = newCheck;
  }

  /** Has the configuration compared with the store's now. */
  public void check() {
    check.run();
  }

  /**
   * Notes a proof.
   *
   * @param nanos no newer configuration had been acknowledged before this moment
   */
  public void recordProof(long nanos) {
    if (recordProof && nanos - provenNanos <= 0) {
      return;
    }
    recordProof = true;
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

  /** Nanoseconds since the proven moment; {@link Long#MAX_VALUE} if nothing is proven. */
  public long ageNanos() {
    return recordProof ? eventLoop.nanoTime() - provenNanos : Long.MAX_VALUE;
  }

  /**
   * How long before a moment the configuration was proven last.
   *
   * @param nanos the moment
   * @return nanoseconds; negative if it is proven as of a later moment, {@link Long#MAX_VALUE} if
   *     nothing is proven
   */
  public long ageNanosAt(long nanos) {
    return recordProof ? nanos - provenNanos : Long.MAX_VALUE;
  }

  private boolean provenSince(long nanos) {
    return recordProof && provenNanos - nanos >= 0;
  }

  /**
   * Waits until the configuration is proven as of a moment.
   *
   * @param sinceNanos the moment
   * @param timeoutMillis the longest wait
   * @param answer takes whether it is proven, exactly once
   */
  public void await(long sinceNanos, long timeoutMillis, Consumer<Boolean> answer) {
    if (provenSince(sinceNanos)) {
      answer.accept(true);
      return;
    }
    Waiter[] waiter = new Waiter[1];
    EventLoop.Timer timeout = eventLoop.schedule(timeoutMillis, () -> onTimeout(waiter[0]));
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
