package review;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node as a process of its own, started with the command and the template of the deploy file. */
final class Node implements AutoCloseable {
  private static final Pattern GAP = Pattern.compile("\\{\\{([A-Za-z.0-9]+)}}");
  private static final Pattern SECTION = Pattern.compile("\\{\\{#.*}}");
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]+)\"");

  final String name;
  final String host;
  final int front;
  private final int readiness;
  private final Path root;
  private final Path settings;
  private final Path log;
  private Process process;

  Node(Path root, Path folder, String name, String host, int[] ports, int storePort, Map<String, String> bounds)
      throws IOException {
    this.root = root;
    this.name = name;
    this.host = host;
    this.front = ports[0];
    this.readiness = ports[1];
    this.settings = folder.resolve(name + ".properties");
    this.log = folder.resolve(name + ".log");
    Map<String, String> values = new java.util.HashMap<>(bounds);
    values.put("nodeName", name);
    values.put("zone", "hall-a");
    values.put("listen.front", host + ":" + front);
    values.put("listen.readiness", host + ":" + readiness);
    values.put("internalPorts.0", String.valueOf(ports[2]));
    values.put("platform.address", "127.0.0.1:" + storePort);
    String template = Files.readString(root.resolve("deploy/settings.properties"));
    String zones = SECTION.matcher(template).replaceAll("hall-a=zilina");
    Files.writeString(
        settings, GAP.matcher(zones).replaceAll(gap -> values.getOrDefault(gap.group(1), "")));
  }

  void start() throws IOException {
    Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no run command in deploy/system.toml");
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
    builder.directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("BAYKEEL_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(log.toFile());
    builder.redirectInput(new File("/dev/null"));
    process = builder.start();
    Record.write("%s started, pid %d", name, process.pid());
    process.onExit().thenRun(() -> Record.write("%s ended, exit code %d", name, process.exitValue()));
  }

  Path log() {
    return log;
  }

  boolean alive() {
    return process.isAlive();
  }

  /** Sends a signal to the process. */
  void signal(String signal) throws Exception {
    Record.write("%s gets SIG%s", name, signal);
    new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
  }

  /** Asks for readiness as the platform does. */
  boolean ready() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, readiness), 500);
      socket.setSoTimeout(1000);
      Http.write(socket.getOutputStream(), "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      Http.Message answer = Http.read(socket.getInputStream());
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady(long millis) {
    long end = Threads.now() + millis;
    while (!ready()) {
      if (Threads.now() > end) {
        throw new IllegalStateException(name + " is not ready");
      }
      Threads.sleep(100);
    }
    Record.write("%s is ready", name);
  }

  @Override
  public void close() throws Exception {
    if (process != null && process.isAlive()) {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }
}
