package org.baykeel.gateway.telemetry;

/**
 * A task whose errors are logged. An executor would only keep them in the task's future, and would
 * not repeat a periodic task that failed once.
 */
public final class LoggedTask implements Runnable {
  private final String name;
  private final Runnable task;
  private final GatewayLog log;

  /**
   * Creates a task.
   *
   * @param name names the task in the log
   * @param task the task that runs
   */
  public LoggedTask(String name, Runnable task, GatewayLog log) {
    this.name = name;
    this.task = task;
    this.log = log;
  }

  @Override
  public void run() {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      log.write(GatewayEvent.TASK_FAILED, "where", name, "error", ErrorText.of(e));
    }
  }
}
