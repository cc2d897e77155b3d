package org.baykeel.gateway.http;

import io.netty.util.concurrent.FastThreadLocalThread;
import java.util.concurrent.Executor;

/**
 * An executor that runs one long task, such as an event loop, on its own thread, but not before
 * {@link #start}. Until then the thread that sets up the process is the only one, and it alone
 * loads classes, native libraries and files.
 *
 * <p>The task must not end. If it does, its thread fails with an {@link IllegalStateException}: an
 * event loop that ends because of an error catches it and returns.
 */
public final class DeferredThread implements Executor {
  private final String name;
  private Runnable task;
  private boolean started;

  /**
   * Creates an executor whose thread has not started.
   *
   * @param name the name of the thread
   */
  public DeferredThread(String name) {
    this.name = name;
  }

  /** Accepts the only task; it runs once the thread has started. */
  @Override
  public synchronized void execute(Runnable command) {
    if (task != null) {
      throw new IllegalStateException("thread " + name + " already has a task");
    }
    task = command;
    if (started) {
      startThread();
    }
  }

  /** Starts the thread, now or as soon as it has a task. */
  public synchronized void start() {
    if (started) {
      throw new IllegalStateException("thread " + name + " has already been started");
    }
    started = true;
    if (task != null) {
      startThread();
    }
  }

  private void startThread() {
    new FastThreadLocalThread(this::runTask, name).start();
  }

  private void runTask() {
    task.run();
    throw new IllegalStateException("thread " + name + " has ended");
  }
}
