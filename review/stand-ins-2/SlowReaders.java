import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients of a plain service that begin to read their answers only after some seconds. */
final class SlowReaders {
  private static final int ANSWER_BYTES = Integer.getInteger("answer", 7_000_000);
  private static final int READERS = Integer.getInteger("readers", 16);
  private static final int ROUNDS = Integer.getInteger("rounds", 4);
  private static final long BETWEEN_MILLIS = 250;
  private static final long UNREAD_MILLIS = 5_000;

  private final PrintWriter record;
  private final boolean trouble;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();

  private SlowReaders(PrintWriter record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])), true)) {
      status = new SlowReaders(record, trouble).run(Path.of(arguments[1]));
    }
    System.exit(status);
  }

  private void note(String line) {
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
    store.put(
        "op",
        "config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-status\",\"host\":\"desk.example\",\"pathPrefix\":\"/status/\",\"kind\":\"safe\",\"timeoutMs\":1200,\"targetLatencyMs\":80,\"priority\":2,\"service\":\"api\"}],\"services\":[{\"name\":\"api\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
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
    for (int round = 0; round < ROUNDS; round++) {
      for (Rig.Node node : nodes) {
        if (!node.awaitReady(20_000)) {
          note(node.name + " was not ready");
          return 2;
        }
      }
      Rig.sleep(1_500);
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
    nodes.forEach(Rig.Node::stop);
    int machines = 0;
    int ends = 0;
    for (Rig.Node node : nodes) {
      note(node.name + " ended by itself " + node.ends);
      ends += node.endCount();
      machines += node.endCount() > 0 ? 1 : 0;
    }
    note("answers that were whole " + whole + ", cut or missing " + cut);
    boolean broken = machines >= 2 && ends >= 3;
    note(broken ? "BROKEN: processes ended by themselves" : "HELD");
    return broken ? 1 : 0;
  }

  private void read(Rig.Node node) {
    String id = "q" + ids.incrementAndGet();
    long bytes = 0;
    String end = "end of the stream";
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(8_192);
      socket.setSoTimeout(10_000);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port), 1_000);
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
}
