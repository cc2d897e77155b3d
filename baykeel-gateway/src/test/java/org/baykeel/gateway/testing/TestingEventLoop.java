package org.baykeel.gateway.testing;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * An event loop in virtual time: tasks run in order of their due time when the test advances the
 * time.
 */
public final class TestingEventLoop implements EventLoop {
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::order));
  private long nowNanos = 1_000_000_000L;
  private long order;
  private long tasksRun;

  /** A task and its due time. */
  private static final class Task implements Timer {
    private final long dueNanos;
    private final long order;
    private final Runnable action;
    private boolean cancelled;

    Task(long dueNanos, long order, Runnable action) {
      this.dueNanos = dueNanos;
      this.order = order;
      this.action = action;
    }

    long dueNanos() {
      return dueNanos;
    }

    long order() {
      return order;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }

  @Override
  public long nanoTime() {
    return nowNanos;
  }

  @Override
  public Timer schedule(long delayMillis, Runnable task) {
    Task scheduled = new Task(nowNanos + delayMillis * 1_000_000, order++, task);
    tasks.add(scheduled);
    return scheduled;
  }

  /** Returns the number of tasks that have run. */
  public long tasksRun() {
    return tasksRun;
  }

  /** Advances the time and runs the tasks that come due. */
  public void advance(long millis) {
    long end = nowNanos + millis * 1_000_000;
    while (!tasks.isEmpty() && tasks.peek().dueNanos <= end) {
      Task task = tasks.poll();
      nowNanos = Math.max(nowNanos, task.dueNanos);
      if (!task.cancelled) {
        tasksRun++;
        task.action.run();
      }
    }
    nowNanos = end;
  }
}
