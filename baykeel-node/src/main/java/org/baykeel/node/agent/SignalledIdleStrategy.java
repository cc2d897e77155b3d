package org.baykeel.node.agent;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.IdleStrategy;

/**
 * Parks the agent's thread until a producer signals work or a short time has passed, so that an
 * idle node costs little and a request does not wait for a poll.
 */
final class SignalledIdleStrategy implements IdleStrategy {
  private final long maximumParkNanos;
  private volatile Thread parked;

  SignalledIdleStrategy(int maximumParkMillis) {
    this.maximumParkNanos = TimeUnit.MILLISECONDS.toNanos(maximumParkMillis);
  }

  /** Wakes the agent; called by producers after they have enqueued. */
  void signal() {
    Thread thread = parked;
    if (thread != null) {
      LockSupport.unpark(thread);
    }
  }

  @Override
  public void idle(int workCount) {
    if (workCount <= 0) {
      idle();
    }
  }

  @Override
  public void idle() {
    parked = Thread.currentThread();
    LockSupport.parkNanos(maximumParkNanos);
  }

  @Override
  public void reset() {
    // Nothing is kept between two idle phases.
  }
}
