package org.baykeel.bench.hollow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.baykeel.bench.simulation.VirtualTime;
import org.baykeel.core.bootstrap.BootstrapSettings;
import org.baykeel.core.configuration.DeclarationCodec;
import org.baykeel.core.configuration.Declarations;
import org.baykeel.core.edge.EdgeSettings;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.membership.Membership.Seed;
import org.baykeel.core.membership.MembershipSettings;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberStatus;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.node.NodeSettings;
import org.baykeel.core.node.SchedulingSettings;
import org.baykeel.core.platform.TableResult;
import org.baykeel.core.program.CoordinatorSettings;
import org.baykeel.core.replication.ReplicaGroup;
import org.baykeel.core.replication.ReplicationSettings;
import org.baykeel.core.wire.PeerMessageEncoder;

/** Hundreds of hollow nodes in one process, in virtual time. */
final class HollowFleet {
  static final int ZONES = 6;
  static final int REGIONS = 2;
  private static final int SEEDS = 5;
  private static final int FRAME_BYTES = 28;
  private static final int ZONE_MICROS = 500;
  private static final int REGION_MICROS = 1_500;
  private static final int FAR_MICROS = 15_000;
  private static final int STORE_MICROS = 4_000;
  private static final int ENGINE_CONCURRENCY = 32;

  private record Row(long version, Payload value) {}

  private final VirtualTime time = new VirtualTime();
  private final SplittableRandom random;
  private final int engineCount;
  private final NodeSettings settings;
  private final List<HollowNode> nodes = new ArrayList<>();
  private final Map<String, HollowNode> nodesByHost = new HashMap<>();
  private final Map<String, Row> rows = new HashMap<>();
  private final Map<String, Integer> engineLoads = new HashMap<>();
  private final PeerMessageEncoder encoder = new PeerMessageEncoder();
  private double loss;
  private boolean regionsCut;
  private long refutations;

  HollowFleet(int nodeCount, int engineCount, int shardCount, long seed) {
    this.random = new SplittableRandom(seed);
    this.engineCount = engineCount;
    List<Seed> seeds = new ArrayList<>();
    for (int i = 0; i < Math.min(SEEDS, nodeCount); i++) {
      seeds.add(new Seed(host(i), 1));
    }
    this.settings =
        new NodeSettings(
            seeds,
            MembershipSettings.DEFAULT,
            ReplicationSettings.DEFAULT,
            new BootstrapSettings(shardCount, 5, nodeCount, 1_500, 1_000, 5_000),
            CoordinatorSettings.DEFAULT,
            EdgeSettings.DEFAULT,
            SchedulingSettings.DEFAULT);
    for (int i = 0; i < nodeCount; i++) {
      int zone = i % ZONES;
      NodeAddress address =
          new NodeAddress(host(i), 1, 2, "zone-" + zone, "region-" + zone % REGIONS);
      HollowNode node = new HollowNode(this, i, address);
      nodes.add(node);
      nodesByHost.put(address.host(), node);
    }
  }

  private static String host(int index) {
    return "10.0." + index / 250 + "." + index % 250;
  }

  VirtualTime time() {
    return time;
  }

  SplittableRandom random() {
    return random;
  }

  NodeSettings settings() {
    return settings;
  }

  List<HollowNode> nodes() {
    return nodes;
  }

  void loss(double share) {
    loss = share;
  }

  void cutRegions(boolean cut) {
    regionsCut = cut;
  }

  void start() {
    nodes.forEach(HollowNode::start);
  }

  void run(long millis) {
    time.runUntil(time.millis() + millis);
  }

  /** Runs until a condition holds for the fleet; returns the time it took, or -1. */
  long runUntil(long limitMillis, Predicate<HollowFleet> condition) {
    long started = time.millis();
    while (time.millis() - started < limitMillis) {
      run(100);
      if (condition.test(this)) {
        return time.millis() - started;
      }
    }
    return -1;
  }

  // ---- network ----

  void send(HollowNode from, MemberId self, MemberId to, String host, PeerMessage message) {
    HollowNode target = nodesByHost.get(host);
    HollowNode.Traffic traffic = from.sent().get(TrafficKind.of(message));
    traffic.messages++;
    traffic.bytes += encoder.encode(message).length + FRAME_BYTES;
    String fromRegion = from.address().region();
    boolean far = !fromRegion.equals(target.address().region());
    boolean lost = (far && regionsCut) || (loss > 0 && random.nextDouble() < loss);
    if (lost) {
      return;
    }
    boolean sameZone = from.address().zone().equals(target.address().zone());
    long micros = far ? FAR_MICROS : sameZone ? ZONE_MICROS : REGION_MICROS;
    time.after(micros + random.nextInt(ZONE_MICROS), () -> target.receive(self, to, message));
  }

  // ---- platform and engines ----

  void readRow(String key, Consumer<TableResult> callback) {
    time.after(
        STORE_MICROS,
        () -> {
          Row row = rows.get(key);
          callback.accept(
              row == null
                  ? new TableResult(TableResult.Status.ABSENT, 0, Payload.EMPTY)
                  : new TableResult(TableResult.Status.FOUND, row.version(), row.value()));
        });
  }

  void writeRow(String key, long expectedVersion, Payload value, Consumer<TableResult> callback) {
    time.after(
        STORE_MICROS,
        () -> {
          Row present = rows.get(key);
          long version = present == null ? 0 : present.version();
          if (version != expectedVersion) {
            callback.accept(new TableResult(TableResult.Status.CONFLICT, version, Payload.EMPTY));
          } else {
            rows.put(key, new Row(version + 1, value));
            callback.accept(
                new TableResult(TableResult.Status.WRITTEN, version + 1, Payload.EMPTY));
          }
        });
  }

  /** An engine under changing load: it moves by up to four calls between two polls. */
  EngineReport engineReport(String engine) {
    int load = engineLoads.getOrDefault(engine, ENGINE_CONCURRENCY / 2);
    load = Math.max(0, Math.min(ENGINE_CONCURRENCY, load + random.nextInt(9) - 4));
    engineLoads.put(engine, load);
    return new EngineReport(engine, time.millis(), load, 0, 100_000, EngineReport.Status.SERVING);
  }

  Payload declarations(int tenants) {
    List<Declarations.Engine> engines = new ArrayList<>();
    for (int i = 0; i < engineCount; i++) {
      engines.add(
          new Declarations.Engine(
              "engine-" + i,
              "10.1." + i / 250 + "." + i % 250 + ":8000",
              "zone-" + i % ZONES,
              List.of("model-" + i % 7),
              ENGINE_CONCURRENCY,
              1_000_000,
              Declarations.BackendState.SERVING));
    }
    List<Declarations.Tenant> declaredTenants = new ArrayList<>();
    for (int i = 0; i < tenants; i++) {
      declaredTenants.add(new Declarations.Tenant("tenant-" + i, "0".repeat(58) + i, 1_000));
    }
    List<Declarations.Model> models = new ArrayList<>();
    for (int i = 0; i < 7; i++) {
      models.add(new Declarations.Model("model-" + i, 1, 4, 1_000_000));
    }
    Declarations.ProgramClass programClass =
        new Declarations.ProgramClass("ordinary", 10, 1_000_000, 260, 60_000);
    return DeclarationCodec.encode(
        new Declarations(declaredTenants, models, engines, List.of(), List.of(programClass)));
  }

  // ---- what the run asks of the whole fleet ----

  void logged(int node, LogEvent event) {
    // Events of hollow nodes are not kept.
  }

  /** Refutations by members that were suspected though they ran. */
  long refutations() {
    refutations = 0;
    for (HollowNode node : nodes) {
      if (node.isAlive()) {
        refutations += node.core().membership().falseSuspicions();
      }
    }
    return refutations;
  }

  /** True if every shard has a ready leader. */
  boolean allLed() {
    return unledShards() == 0;
  }

  int unledShards() {
    int shards = settings.bootstrap().shardCount();
    boolean[] led = new boolean[shards];
    for (HollowNode node : nodes) {
      for (int shard : heldShards(node)) {
        led[shard] |= node.core().group(shard).isReadyLeader();
      }
    }
    int unled = 0;
    for (boolean item : led) {
      unled += item ? 0 : 1;
    }
    return unled;
  }

  private static Set<Integer> heldShards(HollowNode node) {
    return node.isAlive() ? node.core().heldShards() : Set.of();
  }

  /** True if every group has its full number of members, all of which run. */
  boolean allComplete() {
    int shards = settings.bootstrap().shardCount();
    boolean[] complete = new boolean[shards];
    for (HollowNode node : nodes) {
      for (int shard : heldShards(node)) {
        ReplicaGroup group = node.core().group(shard);
        if (group.isReadyLeader()) {
          complete[shard] = isComplete(group);
        }
      }
    }
    for (boolean item : complete) {
      if (!item) {
        return false;
      }
    }
    return true;
  }

  private boolean isComplete(ReplicaGroup group) {
    int running = 0;
    for (MemberId member : group.members()) {
      HollowNode node = nodes.get(member.nodeId() - 1);
      running += node.isAlive() && node.core().self().equals(member) ? 1 : 0;
    }
    return running == group.members().size() && running == settings.bootstrap().replicas();
  }

  /** How many running nodes believe a node dead. */
  int believersInDeath(HollowNode gone) {
    int believers = 0;
    for (HollowNode node : nodes) {
      if (node.isAlive()) {
        MemberUpdate update = node.core().membership().member(gone.index() + 1);
        believers += update != null && update.status() == MemberStatus.DEAD ? 1 : 0;
      }
    }
    return believers;
  }

  int running() {
    return (int) nodes.stream().filter(HollowNode::isAlive).count();
  }
}
