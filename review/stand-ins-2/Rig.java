import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadFactory;

/** Starts the project's nodes with the command of the deploy file, and helps with the rest. */
final class Rig {
  private Rig() {}

  static final long START = System.nanoTime();

  static long millis() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static ThreadFactory daemon(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  /**
   * Returns free ports. They lie below the range that the system takes for outgoing connections, so
   * that none is taken while a node starts again.
   */
  static int[] freePorts(int count) throws IOException {
    java.util.Random random = new java.util.Random();
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int tries = 0; sockets.size() < count; tries++) {
      int port = 18_000 + random.nextInt(13_000);
      try {
        ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
        ports[sockets.size()] = port;
        sockets.add(socket);
      } catch (IOException e) {
        if (tries > 1_000) {
          throw e;
        }
      }
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  /** A case: returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  interface Case {
    int run() throws Exception;
  }

  /** The longest time of a case; below 120 s with the start and the end of the script. */
  private static final long MAX_MILLIS = 110_000;

  /** Runs a case and ends the process with its status, 2 after an error or too long a time. */
  static void main(java.io.PrintWriter record, Case ofRule) {
    Thread limit =
        daemon("limit")
            .newThread(
                () -> {
                  sleep(MAX_MILLIS);
                  record.println(millis() + " ms the case took too long");
                  System.exit(2);
                });
    limit.start();
    int status;
    try {
      status = ofRule.run();
    } catch (Exception e) {
      record.println(millis() + " ms the case could not run: " + e);
      status = 2;
    }
    record.flush();
    System.exit(status);
  }

  /** One node: it is started again after it ends, as the platform does. */
  static final class Node {
    private static final int EXIT_NOT_BOUND = 71;

    final String name;
    final int port;
    final int readiness;
    final List<String> ends = new ArrayList<>();
    private final Path settings;
    private final File log;
    private Process process;
    private boolean stopped;

    /** Ends for want of a free port; they are the script's own, and the case can't be judged. */
    private boolean withoutPort;

    Node(String name, String zone, String zones, int[] ports, int storePort, Path folder)
        throws IOException {
      this.name = name;
      this.port = ports[0];
      this.readiness = ports[1];
      this.settings = folder.resolve(name + ".properties");
      this.log = folder.resolve(name + ".log").toFile();
      Files.writeString(
          settings,
          String.join(
              "\n",
              "node.name=" + name,
              "node.zone=" + zone,
              "listen.callers=127.0.0.1:" + ports[0],
              "listen.readiness=127.0.0.1:" + ports[1],
              "listen.peers.port=" + ports[2],
              "store.address=127.0.0.1:" + storePort,
              "engines.drain.milliseconds=2000",
              "stop.grace.seconds=8",
              "keys.revocation.milliseconds=",
              "configuration.apply.milliseconds=2000",
              "limits.window.seconds=",
              "limits.overage.share=",
              "limits.slack.requests=",
              "topology.regions=" + zones,
              "zones.cordon.milliseconds=",
              "engines.cold.overage.factor=",
              "engines.cold.slack.requests=",
              "load.reports=on",
              "engines.priorities=on",
              "process.descriptors=8200",
              ""));
    }

    synchronized void start() throws IOException {
      ProcessBuilder builder =
          new ProcessBuilder(
              "java",
              "@platform/target/java-options",
              "-jar",
              "platform/target/baykeel-platform-0.1.0.jar");
      builder.environment().put("BAYKEEL_BOOT", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
      process = builder.start();
      Process started = process;
      Thread watch = daemon("watch").newThread(() -> watch(started));
      watch.start();
    }

    private void watch(Process started) {
      try {
        int status = started.waitFor();
        synchronized (this) {
          if (stopped) {
            return;
          }
          withoutPort |= status == EXIT_NOT_BOUND;
          ends.add("at " + millis() + " ms with status " + status);
        }
        sleep(500);
        synchronized (this) {
          if (!stopped) {
            start();
          }
        }
      } catch (InterruptedException | IOException e) {
        System.err.println(name + ": " + e);
      }
    }

    synchronized boolean withoutPort() {
      return withoutPort;
    }

    synchronized int endCount() {
      return ends.size();
    }

    synchronized void stop() {
      stopped = true;
      if (process != null) {
        process.destroyForcibly();
      }
    }

    boolean ready() {
      try {
        HttpURLConnection asked =
            (HttpURLConnection) new URL("http://127.0.0.1:" + readiness + "/ready").openConnection();
        asked.setConnectTimeout(300);
        asked.setReadTimeout(500);
        return asked.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    boolean awaitReady(long millis) {
      long end = millis() + millis;
      while (millis() < end) {
        if (ready()) {
          return true;
        }
        sleep(100);
      }
      return false;
    }
  }
}
