package org.baykeel.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.baykeel.bench.client.OperatorClient;
import org.baykeel.core.configuration.DeclarationCodec;
import org.baykeel.core.configuration.DeclarationReader;
import org.baykeel.core.message.Payload;

/** The processes of a deployment on this machine: nodes, platform, engines and tool services. */
public final class Cluster implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String HOST = "127.0.0.1";
  private static final String API_KEY = "demo-key";
  private static final int PORTS_PER_NODE = 2;
  private static final long READY_MILLIS = 60_000;
  private static final int POLL_MILLIS = 100;

  private static final String FAST_COSTS =
      "costs: {prefillTokensPerSecond: 10000000, stepMicros: 1, sequenceMicros: 0}\n";

  private final Deployment deployment;
  private final String engineCosts;
  private final List<String> launcher;
  private final Path directory;
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final List<Integer> peerPorts;
  private final List<Integer> httpPorts;
  private final List<Integer> enginePorts;
  private final List<Integer> toolPorts;
  private final int platformPort;

  /**
   * A cluster that is not started.
   *
   * @param launcher the command that runs baykeel, to which a subcommand is added
   */
  public Cluster(Deployment deployment, List<String> launcher) {
    this(deployment, launcher, "");
  }

  /** A cluster whose engines answer at once, to measure what the nodes add. */
  public static Cluster withFastEngines(Deployment deployment, List<String> launcher) {
    return new Cluster(deployment, launcher, FAST_COSTS);
  }

  private Cluster(Deployment deployment, List<String> launcher, String engineCosts) {
    this.deployment = deployment;
    this.engineCosts = engineCosts;
    this.launcher = List.copyOf(launcher);
    int nodes = deployment.nodes();
    int engines = deployment.engines();
    List<Integer> ports =
        PortPool.choose(nodes * PORTS_PER_NODE + engines + deployment.toolInstances() + 1);
    peerPorts = ports.subList(0, nodes);
    httpPorts = ports.subList(nodes, 2 * nodes);
    enginePorts = ports.subList(2 * nodes, 2 * nodes + engines);
    toolPorts = ports.subList(2 * nodes + engines, ports.size() - 1);
    platformPort = ports.get(ports.size() - 1);
    try {
      directory = Files.createTempDirectory("baykeel-" + deployment.name());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The key of the demo's tenant. */
  public String apiKey() {
    return API_KEY;
  }

  /** IP:PORT of the nodes' HTTP interfaces. */
  public List<String> nodeAddresses() {
    return httpPorts.stream().map(port -> HOST + ":" + port).toList();
  }

  /** IP:PORT of the engines, by name. */
  public Map<String, String> engineAddresses() {
    Map<String, String> addresses = new LinkedHashMap<>();
    for (int i = 0; i < enginePorts.size(); i++) {
      addresses.put("engine-" + i, HOST + ":" + enginePorts.get(i));
    }
    return addresses;
  }

  /** IP:PORT of the tool service's instances. */
  public List<String> toolAddresses() {
    return toolPorts.stream().map(port -> HOST + ":" + port).toList();
  }

  /** IP:PORT of the platform. */
  public String platformAddress() {
    return HOST + ":" + platformPort;
  }

  /** Starts all processes. */
  public void start() {
    startEmulators();
    for (int i = 0; i < deployment.nodes(); i++) {
      startNode(i);
    }
  }

  /** The first engine has a process of its own, so that it can be killed alone. */
  private void startEmulators() {
    startEmulator("platform", "host: " + HOST + "\nplatformPort: " + platformPort + "\n");
    startEmulator("engine-0", "host: " + HOST + "\n" + engineCosts + "engines:\n" + engineLine(0));
    StringBuilder others = new StringBuilder("host: " + HOST + "\n" + engineCosts + "engines:\n");
    for (int i = 1; i < deployment.engines(); i++) {
      others.append(engineLine(i));
    }
    startEmulator("engines", others.toString());
    StringBuilder tools = new StringBuilder("host: " + HOST + "\ntools:\n");
    for (int i = 0; i < toolPorts.size(); i++) {
      String name = deployment.tool() + "-" + i;
      tools.append("  - {name: " + name + ", port: " + toolPorts.get(i) + "}\n");
    }
    startEmulator("tools", tools.toString());
  }

  private String engineLine(int index) {
    return "  - {name: engine-" + index + ", port: " + enginePorts.get(index) + "}\n";
  }

  private void startEmulator(String name, String settings) {
    launch(name, "emulator", write(name + ".yaml", settings));
  }

  /** Starts the n-th node, also again after it was ended. */
  public void startNode(int index) {
    StringBuilder settings = new StringBuilder();
    settings.append("nodeId: ").append(index + 1).append('\n');
    settings.append("host: ").append(HOST).append('\n');
    settings.append("peerPort: ").append(peerPorts.get(index)).append('\n');
    settings.append("httpPort: ").append(httpPorts.get(index)).append('\n');
    settings.append("zone: ").append(deployment.zone(index)).append('\n');
    settings.append("region: home\nseeds:\n");
    peerPorts.forEach(port -> settings.append("  - " + HOST + ":" + port + "\n"));
    settings.append("platform:\n");
    settings.append("  tableService: " + platformAddress() + "\n");
    settings.append("shards:\n  expectedNodes: ").append(deployment.nodes()).append('\n');
    launch(nodeName(index), "node", write(nodeName(index) + ".yaml", settings.toString()));
  }

  private static String nodeName(int index) {
    return "node-" + (index + 1);
  }

  private Path write(String name, String text) {
    try {
      return Files.writeString(directory.resolve(name), text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void launch(String name, String subcommand, Path settings) {
    List<String> command = new ArrayList<>(launcher);
    command.add(subcommand);
    command.add(settings.toString());
    File log = directory.resolve(name + ".log").toFile();
    try {
      ProcessBuilder builder =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
      processes.put(name, builder.start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The process with a name. */
  public Process process(String name) {
    return processes.get(name);
  }

  /** Where the processes write their logs. */
  public Path directory() {
    return directory;
  }

  /** Waits until every node answers its readiness, or live if no configuration is needed. */
  public boolean awaitReady(String path) throws InterruptedException {
    long limit = System.currentTimeMillis() + READY_MILLIS;
    for (String node : nodeAddresses()) {
      OperatorClient client = new OperatorClient(node, "");
      while (!client.get(path).isSuccess()) {
        if (System.currentTimeMillis() > limit) {
          return false;
        }
        Thread.sleep(POLL_MILLIS);
      }
    }
    return true;
  }

  /** The operator's declarations, as the files of a directory. */
  public Map<String, String> declarations() {
    StringBuilder text = new StringBuilder();
    String keySha256 = HexFormat.of().formatHex(Payload.of(API_KEY).sha256().array());
    text.append("tenants:\n  - {name: demo, keySha256: ").append(keySha256).append("}\n");
    text.append("models:\n");
    deployment.models().forEach(model -> text.append("  - {name: " + model + "}\n"));
    text.append("engines:\n");
    int index = 0;
    for (Map.Entry<String, String> engine : engineAddresses().entrySet()) {
      String zone = deployment.zone(index++ % deployment.nodes());
      text.append("  - name: " + engine.getKey() + "\n");
      text.append("    address: " + engine.getValue() + "\n    zone: " + zone + "\n");
      text.append("    models: [" + String.join(", ", deployment.models()) + "]\n");
      text.append("    concurrency: 16\n    cacheTokens: 400000\n");
    }
    text.append("tools:\n  - name: " + deployment.tool() + "\n    addresses: [");
    text.append(String.join(", ", toolAddresses())).append("]\n    operations:\n");
    for (String operation : deployment.repeatable()) {
      text.append("      - {name: " + operation + ", repeatable: true, cost: 1}\n");
    }
    for (String operation : deployment.notRepeatable()) {
      text.append("      - {name: " + operation + ", repeatable: false, cost: 1}\n");
    }
    text.append("programClasses:\n");
    for (Deployment.ClassDeclaration item : deployment.classes()) {
      text.append("  - {name: " + item.name() + ", priority: " + item.priority());
      text.append(", budget: " + item.budget() + ", turnLimit: " + item.turnLimit() + "}\n");
    }
    return Map.of(deployment.name() + ".yaml", text.toString());
  }

  /** Plans and confirms declarations; returns the version that was accepted. */
  public long declare(Map<String, String> files) throws IOException {
    DeclarationReader.Result result = DeclarationReader.read(files);
    if (!result.problems().isEmpty()) {
      throw new IOException(result.problems().toString());
    }
    OperatorClient client = new OperatorClient(nodeAddresses().get(0), "");
    String document = DeclarationCodec.encode(result.declarations()).text();
    OperatorClient.Answer plan = client.post("/operator/plan", document);
    OperatorClient.Answer accepted = client.post("/operator/confirm", plan.body());
    if (!accepted.isSuccess()) {
      throw new IOException(accepted.body());
    }
    return MAPPER.readTree(accepted.body()).path("version").asLong();
  }

  /** Reads JSON from one of the stand-ins or nodes. */
  public JsonNode json(String address, String path) throws IOException {
    OperatorClient.Answer answer = new OperatorClient(address, "").get(path);
    if (!answer.isSuccess()) {
      throw new IOException(address + path + ": " + answer.status());
    }
    return MAPPER.readTree(answer.body());
  }

  /** Ends all processes that this cluster has started, and removes its files. */
  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    try (Stream<Path> files = Files.walk(directory)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
