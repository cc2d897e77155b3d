import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Planner sessions with long inputs on a route that retains turns. While the store is down, turns
 * go on from sessions that the nodes have in memory.
 */
final class ChainsInAnOutage {
  private static final int INPUT_BYTES = Integer.getInteger("input", 400_000);
  private static final int TURNS = Integer.getInteger("turns", 18);
  private static final int SESSIONS = Integer.getInteger("sessions", 2);
  private static final double PER_SECOND = Double.parseDouble(System.getProperty("rate", "3.1"));
  private static final long DOWN_MILLIS = Long.getLong("down", 3_600);
  private static final int OUTAGES = Integer.getInteger("outages", 4);


  /** The rule: on two machines at least, processes end by themselves three times. */
  private static final int MACHINES = 2;

  private static final int ENDS = 3;

  /** The sessions alone bring more whole answers. */
  private static final int MIN_ANSWERED = 200;

  private final PrintWriter record;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger ids = new AtomicInteger();
  private final byte[] input = new byte[INPUT_BYTES];
  private final ExecutorService callers = Executors.newCachedThreadPool(Rig.daemon("caller"));

  private ChainsInAnOutage(PrintWriter record) {
    this.record = record;
    Arrays.fill(input, (byte) 'x');
  }

  public static void main(String[] arguments) throws Exception {
    System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
    System.setProperty("sun.net.http.retryPost", "false");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])), true);
    Rig.main(record, () -> new ChainsInAnOutage(record).run(trouble, Path.of(arguments[1])));
  }

  private void note(String line) {
    synchronized (record) {
      record.println(Rig.millis() + " ms " + line);
    }
  }

  private int run(boolean trouble, Path folder) throws Exception {
    Store store = new Store();
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      Engine engine = new Engine("i-" + i, 12, 10, 22, this::note);
      engines.add(engine);
      store.put("servers", engine.id(), engine.entry("plan", i % 2 == 0 ? "hall-a" : "hall-b"));
    }
    store.put("op", "config", configuration());
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
    try {
      for (Rig.Node node : nodes) {
        node.start();
      }
      for (Rig.Node node : nodes) {
        if (!node.awaitReady(20_000)) {
          note(node.name + " was not ready");
          return 2;
        }
      }
      for (int round = 0; round < OUTAGES; round++) {
        Thread[] drivers = new Thread[nodes.size()];
        List<List<String>> sessions = new ArrayList<>();
        for (Rig.Node node : nodes) {
          node.awaitReady(10_000);
        }
        int number = round;
        List<Future<List<String>>> built = new ArrayList<>();
        for (Rig.Node node : nodes) {
          built.add(callers.submit(() -> sessions(node, number)));
        }
        for (Future<List<String>> one : built) {
          sessions.add(one.get());
        }
        note("sessions are built, store down: " + trouble);
        store.setDown(trouble);
        for (int i = 0; i < nodes.size(); i++) {
          int at = i;
          drivers[i] = new Thread(() -> drive(nodes.get(at), sessions.get(at)));
          drivers[i].start();
        }
        Rig.sleep(DOWN_MILLIS);
        store.setDown(false);
        note("store up");
        for (Thread driver : drivers) {
          driver.join();
        }
        Rig.sleep(1_500);
      }
    } finally {
      nodes.forEach(Rig.Node::stop);
    }
    int machines = 0;
    for (Rig.Node node : nodes) {
      note(node.name + " ended by itself " + node.ends);
      machines += node.endCount() >= ENDS ? 1 : 0;
    }
    note("runs at engines " + engines.stream().mapToInt(engine -> engine.runs.get()).sum() + ", whole answers " + answered);
    if (nodes.stream().anyMatch(Rig.Node::withoutPort) || answered.get() < MIN_ANSWERED) {
      note("no verdict");
      return 2;
    }
    boolean broken = machines >= MACHINES;
    note(broken ? "BROKEN: processes ended by themselves" : "HELD");
    return broken ? 1 : 0;
  }

  /** Builds sessions turn by turn; returns the last turn of each. */
  private List<String> sessions(Rig.Node node, int round) throws Exception {
    List<Future<String>> built = new ArrayList<>();
    for (int i = 0; i < SESSIONS; i++) {
      String session = node.name + "-" + round + "-" + i;
      built.add(callers.submit(() -> session(node, session)));
    }
    List<String> last = new ArrayList<>();
    for (Future<String> one : built) {
      last.add(one.get());
    }
    return last;
  }

  private String session(Rig.Node node, String session) throws IOException {
    String previous = null;
    for (int turn = 0; turn < TURNS; turn++) {
      String id = null;
      for (int attempt = 0; attempt < 6 && id == null; attempt++) {
        String tried = "t" + ids.incrementAndGet();
        if (turn(node, tried, session, previous)) {
          id = tried;
        } else {
          Rig.sleep(300);
        }
      }
      if (id == null) {
        throw new IOException("a session could not be built");
      }
      previous = id;
    }
    return previous;
  }

  /** Sub-agents go on from the sessions, at a steady rate. */
  private void drive(Rig.Node node, List<String> sessions) {
    int count = (int) (DOWN_MILLIS / 1_000.0 * PER_SECOND);
    long begin = Rig.millis();
    for (int i = 0; i < count; i++) {
      Rig.sleep(begin + (long) (i * 1_000 / PER_SECOND) - Rig.millis());
      String previous = sessions.get(i % sessions.size());
      String id = "t" + ids.incrementAndGet();
      callers.execute(() -> turn(node, id, "sub-" + id, previous));
    }
    Rig.sleep(3_500);
  }

  /** Sends a turn; returns whether its answer was whole. */
  private boolean turn(Rig.Node node, String id, String session, String previous) {
    long began = Rig.millis();
    note(node.name + " is sent turn " + id + " after " + previous);
    String outcome;
    boolean whole = false;
    try {
      HttpURLConnection call =
          (HttpURLConnection) new URL("http://127.0.0.1:" + node.port + "/plan/2f").openConnection();
      call.setRequestMethod("POST");
      call.setDoOutput(true);
      call.setConnectTimeout(1_000);
      call.setReadTimeout(4_000);
      call.setFixedLengthStreamingMode(previous == null || !session.startsWith("sub-") ? input.length : 840);
      call.setRequestProperty("Host", "plan.example");
      call.setRequestProperty("Request-Id", id);
      call.setRequestProperty("Program-Id", session);
      call.setRequestProperty("Session-Id", session);
      call.setRequestProperty("Deadline-Ms", "3000");
      call.setRequestProperty("Model", "m");
      call.setRequestProperty("Token-Usage", "840,250");
      call.setRequestProperty("Prompt-Prefix", "5c1e07a2:800," + Integer.toHexString(id.hashCode()) + ":40");
      call.setRequestProperty("Finish-Ms", "5200");
      if (previous != null) {
        call.setRequestProperty("Previous-Turn", previous);
      }
      try (OutputStream out = call.getOutputStream()) {
        out.write(input, 0, previous == null || !session.startsWith("sub-") ? input.length : 840);
      }
      int status = call.getResponseCode();
      InputStream in = status < 400 ? call.getInputStream() : call.getErrorStream();
      int bytes = in == null ? 0 : in.readAllBytes().length;
      whole = status == 200;
      answered.addAndGet(whole ? 1 : 0);
      outcome = status + ", " + bytes + " bytes";
    } catch (IOException e) {
      outcome = "broken off: " + e.getMessage();
    }
    note(node.name + " turn " + id + " after " + previous + ": " + outcome + ", " + (Rig.millis() - began) + " ms");
    return whole;
  }

  private static String configuration() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-plan\",\"host\":\"plan.example\",\"pathPrefix\":\"/plan/\",\"kind\":\"streaming\",\"timeoutMs\":3000,\"targetLatencyMs\":200,\"priority\":0,\"service\":\"plan\",\"attempts\":2,\"retain\":true,\"retentionS\":60.0,\"sessionAffinity\":true,\"resumable\":false,\"gapTargetMs\":300}],\"services\":[{\"name\":\"plan\",\"healthPath\":\"/health\",\"maxConnections\":160,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":12,\"kvCapacity\":490370,\"kvTokenBytes\":327680,\"stride\":25,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  }
}
