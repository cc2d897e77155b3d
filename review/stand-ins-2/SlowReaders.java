import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of a plain service that begin to read their answers only after some seconds, beside others
 * that keep their connections and read at once.
 */
final class SlowReaders {
  private static final int ANSWER_BYTES = Integer.getInteger("answer", 7_000_000);
  private static final int READERS = Integer.getInteger("readers", 16);
  private static final int ROUNDS = Integer.getInteger("rounds", 4);
  private static final long BETWEEN_MILLIS = 250;
  private static final long UNREAD_MILLIS = 5_000;
  private static final int KEEPERS = 4;

  /** The most requests from kept connections that a machine may leave without an answer. */
  private static final int MAX_CLOSED = 3;

  private final PrintWriter record;
  private final boolean trouble;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();
  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final Map<String, String> closedAt = new ConcurrentHashMap<>();
  private final AtomicInteger kept = new AtomicInteger();
  private volatile boolean keeping = true;

  private SlowReaders(PrintWriter record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])), true);
    Rig.main(record, () -> new SlowReaders(record, trouble).run(Path.of(arguments[1])));
  }

  private void note(String line) {
    if (line.startsWith("engine ")) {
      ran.add(line.substring(line.lastIndexOf(' ') + 1));
    }
    synchronized (record) {
      record.println(Rig.millis() + " ms " + line);
    }
  }

  private int run(Path folder) throws Exception {
    Store store = new Store();
    for (int i = 0; i < 6; i++) {
      Engine engine = new Engine("i-" + i, 6, 0, 0, this::note).answering(ANSWER_BYTES);
      store.put("servers", engine.id(), engine.entry("api", i % 2 == 0 ? "hall-a" : "hall-b"));
    }
    for (int i = 6; i < 9; i++) {
      Engine engine = new Engine("i-" + i, 6, 0, 100, this::note).answering(800);
      store.put("servers", engine.id(), engine.entry("calls", i % 2 == 0 ? "hall-a" : "hall-b"));
    }
    store.put(
        "op",
        "config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-status\",\"host\":\"desk.example\",\"pathPrefix\":\"/status/\",\"kind\":\"safe\",\"timeoutMs\":1200,\"targetLatencyMs\":80,\"priority\":2,\"service\":\"api\"},{\"name\":\"r-call\",\"host\":\"desk.example\",\"pathPrefix\":\"/call/\",\"kind\":\"unsafe\",\"timeoutMs\":2000,\"targetLatencyMs\":200,\"priority\":2,\"service\":\"calls\",\"attempts\":1}],\"services\":[{\"name\":\"calls\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"api\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
    List<Rig.Node> nodes = new ArrayList<>();
    int[] ports = Rig.freePorts(6);
    for (int i = 0; i < 2; i++) {
      nodes.add(
          new Rig.Node(
              "front-" + i,
              i == 0 ? "hall-a" : "hall-b",
              "hall-a=r,hall-b=r",
              Arrays.copyOfRange(ports, 3 * i, 3 * i + 3),
              store.port(),
              folder));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Rig.Node::stop)));
    for (Rig.Node node : nodes) {
      node.start();
    }
    for (Rig.Node node : nodes) {
      for (int i = 0; i < KEEPERS; i++) {
        Rig.daemon("keeper").newThread(() -> keep(node)).start();
      }
    }
    for (int round = 0; round < ROUNDS; round++) {
      for (Rig.Node node : nodes) {
        if (!node.awaitReady(20_000)) {
          note(node.name + " was not ready");
          return 2;
        }
      }
      // Longer than contactMs, so that the machines are in touch again after a start.
      Rig.sleep(5_000);
      List<Thread> readers = new ArrayList<>();
      for (int i = 0; i < READERS; i++) {
        for (Rig.Node node : nodes) {
          Thread reader = Rig.daemon("reader").newThread(() -> read(node));
          readers.add(reader);
          reader.start();
        }
        Rig.sleep(BETWEEN_MILLIS);
      }
      for (Thread reader : readers) {
        reader.join();
      }
    }
    keeping = false;
    Rig.sleep(1_000);
    nodes.forEach(Rig.Node::stop);
    boolean lost = false;
    for (Rig.Node node : nodes) {
      long closed =
          closedAt.entrySet().stream()
              .filter(one -> one.getValue().equals(node.name) && ran.contains(one.getKey()))
              .count();
      lost |= closed > MAX_CLOSED;
      note(node.name + " closed a kept connection without an answer, after an engine had run the request: " + closed);
    }
    note("requests answered on kept connections " + kept);
    if (kept.get() < 50) {
      return 2;
    }
    for (Rig.Node node : nodes) {
      note(node.name + " ended by itself " + node.ends);
    }
    note("slow readers: answers that were whole " + whole + ", cut or missing " + cut);
    if (nodes.stream().anyMatch(Rig.Node::withoutPort)) {
      note("no verdict");
      return 2;
    }
    note(lost ? "BROKEN: LOST" : "HELD");
    return lost ? 1 : 0;
  }

  private void read(Rig.Node node) {
    String id = "q" + ids.incrementAndGet();
    long bytes = 0;
    String end = "end of the stream";
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(8_192);
      socket.setSoTimeout(10_000);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port), 1_000);
      if (socket.getLocalPort() == node.port) {
        throw new IOException("connected to itself, since nobody listens");
      }
      note(node.name + " is sent " + id);
      socket
          .getOutputStream()
          .write(
              ("GET /status/4b HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                      + "\r\nDeadline-Ms: 1200\r\nConnection: close\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      if (trouble) {
        Rig.sleep(UNREAD_MILLIS);
      }
      InputStream in = socket.getInputStream();
      byte[] part = new byte[65_536];
      int count;
      while ((count = in.read(part)) >= 0) {
        bytes += count;
      }
    } catch (IOException e) {
      end = e.toString();
    }
    boolean all = bytes > ANSWER_BYTES;
    (all ? whole : cut).incrementAndGet();
    note(node.name + " answered " + id + " with " + bytes + " bytes, " + end);
  }

  /** Sends unsafe requests one after the other on a connection that is kept. */
  private void keep(Rig.Node node) {
    while (keeping) {
      String id = null;
      int answers = 0;
      try (Socket socket = new Socket()) {
        socket.setSoTimeout(4_000);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port), 1_000);
        if (socket.getLocalPort() == node.port) {
          throw new IOException("connected to itself, since nobody listens");
        }
        InputStream in = socket.getInputStream();
        while (keeping) {
          id = "k" + ids.incrementAndGet();
          note(node.name + " is sent " + id);
          socket
              .getOutputStream()
              .write(
                  ("POST /call/4b HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                          + "\r\nDeadline-Ms: 2000\r\nContent-Length: 4\r\n\r\ndone")
                      .getBytes(StandardCharsets.US_ASCII));
          String head = head(in);
          if (head.isEmpty()) {
            note(node.name + " closed the connection of " + id + " without an answer, after " + answers + " answers on it");
            if (answers > 0) {
              closedAt.put(id, node.name);
            }
            break;
          }
          in.readNBytes(length(head));
          answers++;
          kept.addAndGet(head.startsWith("HTTP/1.1 200") ? 1 : 0);
          note(node.name + " answered " + id + " with " + head.substring(9, 12));
          if (head.toLowerCase().contains("connection: close")) {
            break;
          }
          Rig.sleep(20);
        }
      } catch (SocketTimeoutException e) {
        note(node.name + " did not answer " + id + " in time");
      } catch (IOException e) {
        if (id != null && answers > 0) {
          note(node.name + " broke off " + id + ": " + e + ", after " + answers + " answers on the connection");
          closedAt.put(id, node.name);
        }
        // A new connection follows.
      }
      Rig.sleep(100);
    }
  }

  /** Reads a head to the blank line behind it; empty if the connection ends before its first byte. */
  private static String head(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int octet = in.read();
      if (octet < 0) {
        return "";
      }
      head.append((char) octet);
    }
    return head.toString();
  }

  private static int length(String head) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase().startsWith("content-length:")) {
        return Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
      }
    }
    return 0;
  }
}
