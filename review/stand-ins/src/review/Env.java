package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** What every script needs: the record, the store, nodes, free ports, and an end in any case. */
final class Env implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  interface Script {
    /** Runs the script; returns whether the rule was broken. */
    boolean run(Env env) throws Exception;
  }

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path root = Path.of(System.getProperty("review.root")).toAbsolutePath().normalize();
  final Path folder;
  private final String network;
  private final List<AutoCloseable> parts = new ArrayList<>();

  private Env(Path record) throws IOException {
    Record.open(record);
    folder = Files.createTempDirectory("review");
    long pid = ProcessHandle.current().pid();
    network = "127." + (64 + (pid >> 8) % 64) + "." + pid % 256 + ".";
  }

  /** Runs a script, ends everything that it started, and exits with its result. */
  static void main(Path record, Script script) {
    int result = NOT_RUN;
    try (Env env = new Env(record)) {
      Runtime.getRuntime().addShutdownHook(new Thread(env::end));
      Record.write("disruption: %s", env.trouble ? "on" : "off");
      try {
        result = script.run(env) ? BROKEN : HELD;
      } catch (Exception e) {
        Record.tell("the script could not run: %s", e);
        e.printStackTrace();
      }
    } catch (Exception e) {
      e.printStackTrace();
    }
    Record.tell(
        result == BROKEN ? "result: rule broken" : result == HELD ? "result: rule held" : "result: not run");
    System.exit(result);
  }

  <T extends AutoCloseable> T add(T part) {
    parts.add(part);
    return part;
  }

  /** A loopback address that this script alone uses. */
  String address(int last) {
    return network + last;
  }

  static int[] freePorts(String host, int count) throws IOException {
    int[] ports = new int[count];
    List<ServerSocket> held = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket();
      socket.bind(new InetSocketAddress(host, 0));
      held.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket socket : held) {
      socket.close();
    }
    return ports;
  }

  Node node(String name, int last, int[] ports, int storePort, Map<String, String> bounds)
      throws IOException {
    Node node = add(new Node(root, folder, name, address(last), ports, storePort, bounds));
    node.start();
    return node;
  }

  private synchronized void end() {
    for (int i = parts.size() - 1; i >= 0; i--) {
      try {
        parts.get(i).close();
      } catch (Exception e) {
        Record.write("end: %s", e);
      }
    }
    parts.clear();
  }

  @Override
  public void close() throws IOException {
    end();
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      }
    } else {
      System.out.println("kept: " + folder);
    }
  }
}
