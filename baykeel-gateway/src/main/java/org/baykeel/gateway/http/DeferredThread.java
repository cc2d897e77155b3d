package org.baykeel.gateway.http;

import io.netty.util.concurrent.FastThreadLocalThread;
import java.util.concurrent.Executor;

/**
 * Runs one long task, such as an event loop, on a thread of its own, but not before {@link #start}.
 * Until then a process that is being built has a single thread, which alone loads classes, native
 * libraries and files.
 */
public final class DeferredThread implements Executor {
  private final String name;
  private Runnable task;
  private boolean started;

  /**
   * Creates a thread that has not started.
   *
   * @param name the name of the thread
   */
  public DeferredThread(String name) {
    this.name = name;
  }

  /** Takes the task; it runs once the thread has started. */
  @Override
  public synchronized void execute(Runnable command) {
    if (task != null) {
      throw new IllegalStateException("thread " + name + " has its task");
    }
    task = command;
    if (started) {
      startThread();
    }
  }

  /** Starts the thread, now or as soon as it has its task. */
  public synchronized void start() {
    if (started) {
      throw new IllegalStateException("thread " + name + " was started");
    }
    started = true;
    if (task != null) {
      startThread();
    }
  }

  private void startThread() {
    new FastThreadLocalThread(task, name).start();
  }
}
