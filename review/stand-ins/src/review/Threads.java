package review;

/** Daemon threads, sleeps and the clock of a script. */
final class Threads {
  private static final long START = System.nanoTime();

  private Threads() {}

  interface Task {
    void run() throws Exception;
  }

  static Thread start(String name, Task task) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                Record.write("thread %s ended: %s", name, e);
              }
            },
            name,
            256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Milliseconds since the script began. */
  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static void sleepUntil(long millis) {
    sleep(millis - now());
  }
}
