package org.baykeel.node.settings;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.core.bootstrap.BootstrapSettings;
import org.baykeel.core.edge.EdgeSettings;
import org.baykeel.core.membership.Membership.Seed;
import org.baykeel.core.membership.MembershipSettings;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.node.NodeSettings;
import org.baykeel.core.node.SchedulingSettings;
import org.baykeel.core.program.CoordinatorSettings;
import org.baykeel.core.replication.ReplicationSettings;
import org.baykeel.core.scheduling.CostModel;
import org.baykeel.core.scheduling.SelectionPolicy;
import org.baykeel.core.yaml.YamlProblem;
import org.baykeel.core.yaml.YamlReader;
import org.baykeel.core.yaml.YamlSection;
import org.baykeel.node.settings.ProcessSettings.InputLimits;
import org.baykeel.node.settings.ProcessSettings.LogSettings;
import org.baykeel.node.settings.ProcessSettings.PlatformAddresses;

/** Reads and checks the settings file of a node; every error is reported at once. */
public final class ProcessSettingsReader {
  private static final int MAXIMUM_PORT = 65_535;
  private static final int MAXIMUM_MILLIS = 86_400_000;

  /**
   * The outcome of reading.
   *
   * @param settings meaningful only if there are no problems
   * @param problems all errors found
   */
  public record Result(ProcessSettings settings, List<YamlProblem> problems) {}

  private ProcessSettingsReader() {}

  /** Reads settings from the text of a file. */
  public static Result read(String file, String text) {
    List<YamlProblem> problems = new ArrayList<>();
    YamlSection root = new YamlSection(file, "", YamlReader.read(file, text, problems), problems);
    ProcessSettings settings = null;
    try {
      settings = readRoot(root);
    } catch (IllegalArgumentException e) {
      problems.add(new YamlProblem(file, root.line(), "", e.getMessage()));
    }
    return new Result(settings, List.copyOf(problems));
  }

  private static ProcessSettings readRoot(YamlSection root) {
    int nodeId = (int) root.requiredNumber("nodeId", 0, 1_000_000);
    NodeAddress address =
        new NodeAddress(
            root.requiredText("host"),
            (int) root.requiredNumber("peerPort", 0, MAXIMUM_PORT),
            (int) root.requiredNumber("httpPort", 0, MAXIMUM_PORT),
            root.requiredName("zone"),
            root.requiredName("region"));
    List<Seed> seeds = readSeeds(root);
    PlatformAddresses platform = readPlatform(root.section("platform"));
    InputLimits limits = readLimits(root.section("limits"));
    YamlSection log = root.section("log");
    LogSettings logSettings =
        new LogSettings(log.choice("format", LogSettings.Format.class, LogSettings.Format.TEXT));
    log.rejectUnknownKeys();
    String operatorKey = root.text("operatorKeySha256", "");
    NodeSettings core =
        new NodeSettings(
            seeds,
            readMembership(root.section("membership")),
            readReplication(root.section("replication")),
            readShards(root.section("shards")),
            readCalls(root.section("calls")),
            readEdge(root.section("edge")),
            readScheduling(root.section("scheduling")));
    root.rejectUnknownKeys();
    return new ProcessSettings(nodeId, address, platform, limits, logSettings, operatorKey, core);
  }

  private static List<Seed> readSeeds(YamlSection root) {
    List<Seed> seeds = new ArrayList<>();
    for (String text : root.texts("seeds")) {
      if (YamlSection.isAddress(text)) {
        int colon = text.indexOf(':');
        seeds.add(new Seed(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
      } else {
        root.problem("seeds", "'" + text + "' is no address; allowed: IP:PORT");
      }
    }
    return seeds;
  }

  private static PlatformAddresses readPlatform(YamlSection section) {
    PlatformAddresses addresses =
        new PlatformAddresses(
            section.requiredAddress("tableService"),
            (int) section.number("timeoutMillis", 2_000, 10, MAXIMUM_MILLIS));
    section.rejectUnknownKeys();
    return addresses;
  }

  private static InputLimits readLimits(YamlSection section) {
    InputLimits limits =
        new InputLimits(
            (int) section.number("maximumHeaderBytes", 16_384, 1_024, 1_048_576),
            (int) section.number("maximumBodyBytes", 8_388_608, 1_024, 268_435_456),
            (int) section.number("maximumConnections", 4_096, 1, 1_000_000),
            (int) section.number("idleMillis", 120_000, 100, MAXIMUM_MILLIS),
            (int) section.number("requestMillis", 10_000, 100, MAXIMUM_MILLIS));
    section.rejectUnknownKeys();
    return limits;
  }

  private static MembershipSettings readMembership(YamlSection section) {
    MembershipSettings base = MembershipSettings.DEFAULT;
    MembershipSettings settings =
        new MembershipSettings(
            (int) section.number("probeIntervalMillis", base.probeIntervalMillis(), 10, 60_000),
            (int) section.number("probeTimeoutMillis", base.probeTimeoutMillis(), 5, 60_000),
            (int) section.number("indirectProbes", base.indirectProbes(), 0, 100),
            (int) section.number("suspicionMillis", base.suspicionMillis(), 10, 600_000),
            (int) section.number("updatesPerMessage", base.updatesPerMessage(), 1, 1_000),
            (int)
                section.number(
                    "synchronizationMillis", base.synchronizationMillis(), 100, MAXIMUM_MILLIS));
    section.rejectUnknownKeys();
    return settings;
  }

  private static ReplicationSettings readReplication(YamlSection section) {
    ReplicationSettings base = ReplicationSettings.DEFAULT;
    ReplicationSettings settings =
        new ReplicationSettings(
            (int) section.number("heartbeatMillis", base.heartbeatMillis(), 5, 60_000),
            (int) section.number("electionMillis", base.electionMillis(), 20, 600_000),
            (int)
                section.number(
                    "maximumEntriesPerAppend", base.maximumEntriesPerAppend(), 1, 10_000),
            (int) section.number("maximumLogEntries", base.maximumLogEntries(), 16, 1_000_000));
    section.rejectUnknownKeys();
    return settings;
  }

  private static BootstrapSettings readShards(YamlSection section) {
    BootstrapSettings base = BootstrapSettings.DEFAULT;
    BootstrapSettings settings =
        new BootstrapSettings(
            (int) section.number("count", base.shardCount(), 1, 65_536),
            (int) section.number("replicas", base.replicas(), 1, 9),
            (int) section.number("expectedNodes", base.expectedNodes(), 1, 10_000),
            (int) section.number("settleMillis", base.settleMillis(), 0, 600_000),
            (int) section.number("pollMillis", base.pollMillis(), 10, 600_000),
            (int)
                section.number("replaceAfterMillis", base.replaceAfterMillis(), 0, MAXIMUM_MILLIS));
    section.rejectUnknownKeys();
    return settings;
  }

  private static CoordinatorSettings readCalls(YamlSection section) {
    CoordinatorSettings base = CoordinatorSettings.DEFAULT;
    CoordinatorSettings settings =
        new CoordinatorSettings(
            (int) section.number("maximumQueuedCalls", base.maximumQueuedCalls(), 1, 100_000),
            (int) section.number("maximumAttempts", base.maximumAttempts(), 1, 100),
            (int) section.number("cancelGraceMillis", base.cancelGraceMillis(), 0, MAXIMUM_MILLIS),
            (int)
                section.number("modelTimeoutMillis", base.modelTimeoutMillis(), 10, MAXIMUM_MILLIS),
            (int) section.number("retentionMillis", base.retentionMillis(), 0, MAXIMUM_MILLIS),
            (int) section.number("idleLimitMillis", base.idleLimitMillis(), 1_000, MAXIMUM_MILLIS));
    section.rejectUnknownKeys();
    return settings;
  }

  private static EdgeSettings readEdge(YamlSection section) {
    EdgeSettings base = EdgeSettings.DEFAULT;
    EdgeSettings settings =
        new EdgeSettings(
            (int) section.number("repeatMillis", base.repeatMillis(), 10, 600_000),
            (int) section.number("giveUpMillis", base.giveUpMillis(), 10, MAXIMUM_MILLIS),
            (int) section.number("retryAfterMillis", base.retryAfterMillis(), 1, MAXIMUM_MILLIS),
            (int) section.number("maximumPending", base.maximumPending(), 1, 1_000_000));
    section.rejectUnknownKeys();
    return settings;
  }

  private static SchedulingSettings readScheduling(YamlSection section) {
    SchedulingSettings base = SchedulingSettings.DEFAULT;
    SchedulingSettings settings =
        new SchedulingSettings(
            section.choice("policy", SelectionPolicy.class, base.policy()),
            section.flag("byProgram", base.byProgram()),
            (int) section.number("maximumWaiting", base.maximumWaiting(), 1, 1_000_000),
            CostModel.DEFAULT,
            (int) section.number("watchersPerEngine", base.watchersPerEngine(), 1, 100),
            (int) section.number("pollMillis", base.pollMillis(), 10, 600_000),
            (int) section.number("inventoryMillis", base.inventoryMillis(), 10, MAXIMUM_MILLIS));
    section.rejectUnknownKeys();
    return settings;
  }
}
