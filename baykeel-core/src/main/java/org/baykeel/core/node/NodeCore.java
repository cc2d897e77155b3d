package org.baykeel.core.node;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.baykeel.core.bootstrap.ReplicaMaintenance;
import org.baykeel.core.bootstrap.ShardBootstrap;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.configuration.ConfigurationManager;
import org.baykeel.core.configuration.ConfigurationPlan;
import org.baykeel.core.edge.CallerEdge;
import org.baykeel.core.edge.EdgeOutput;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.membership.Membership;
import org.baykeel.core.membership.MembershipOutput;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberStatus;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.message.PeerMessage.CacheInventory;
import org.baykeel.core.message.PeerMessage.ConfigurationDocument;
import org.baykeel.core.message.PeerMessage.EngineReports;
import org.baykeel.core.message.PeerMessage.ForwardCancel;
import org.baykeel.core.message.PeerMessage.ForwardReply;
import org.baykeel.core.message.PeerMessage.ForwardRequest;
import org.baykeel.core.message.PeerMessage.GroupMessage;
import org.baykeel.core.message.PeerMessage.Probe;
import org.baykeel.core.message.PeerMessage.RouteUpdate;
import org.baykeel.core.message.ShardRoute;
import org.baykeel.core.message.Usage;
import org.baykeel.core.program.CallerOrigin;
import org.baykeel.core.program.ProgramShard;
import org.baykeel.core.program.ShardCoordinator;
import org.baykeel.core.replication.ReplicaGroup;
import org.baykeel.core.routing.ShardRoutes;
import org.baykeel.core.scheduling.CallScheduler;
import org.baykeel.core.scheduling.EngineDirectory;
import org.baykeel.core.scheduling.EngineSelector;

/**
 * A node's whole logic, without thread, socket or clock. Every input is a method call that carries
 * the time; every effect goes through {@link NodeOutput}. All calls must come from one thread.
 */
public final class NodeCore {
  private static final int SPREAD_FANOUT = 4;

  private final MemberId self;
  private final NodeSettings settings;
  private final NodeOutput output;
  private final SplittableRandom random;
  private final Membership membership;
  private final ShardRoutes routes = new ShardRoutes();
  private final ConfigurationManager configuration;
  private final EngineDirectory engines = new EngineDirectory();
  private final EngineMonitor monitor;
  private final CallScheduler scheduler;
  private final CallerEdge edge;
  private final ShardBootstrap bootstrap;
  private final ReplicaMaintenance maintenance;
  private final ShardReplicas replicas;
  private final LeadershipBalancer balancer;
  private final Set<MemberId> membersWithoutReplicas = new HashSet<>();
  private final List<Runnable> localMessages = new ArrayList<>();
  private final Map<String, Long> lastEventMillis = new HashMap<>();

  private long now;
  private boolean stopping;
  private boolean routed;
  private long routedDigest = -1;
  private long routedChanges = -1;
  private boolean announcedReady;

  public NodeCore(
      MemberId self,
      NodeAddress address,
      NodeSettings settings,
      NodeOutput output,
      long randomSeed,
      long nowMillis) {
    this.self = requireNonNull(self, "self");
    this.settings = requireNonNull(settings, "settings");
    this.output = requireNonNull(output, "output");
    this.random = new SplittableRandom(randomSeed);
    this.now = nowMillis;
    this.membership =
        new Membership(
            self,
            address,
            settings.seeds(),
            settings.membership(),
            new MembershipAdapter(),
            random.split(),
            nowMillis);
    this.configuration =
        new ConfigurationManager(output, this::configurationAdopted, CONFIGURATION_POLL_MILLIS);
    NodeLinks links = new Links();
    this.monitor =
        new EngineMonitor(
            self, settings, output, links, membership, routes, configuration::image, engines);
    EngineSelector selector =
        settings.scheduling().policy().create(settings.scheduling().costs(), random.split());
    this.scheduler =
        new CallScheduler(
            engines,
            selector,
            settings.scheduling().maximumWaiting(),
            settings.scheduling().byProgram());
    this.replicas =
        new ShardReplicas(
            self,
            settings,
            output,
            links,
            configuration::image,
            engines,
            scheduler,
            random.split());
    this.balancer =
        new LeadershipBalancer(self, shardCount(), membership, routes, replicas, random.split());
    this.edge = new CallerEdge(routes, settings.edge(), new EdgeAdapter());
    this.bootstrap =
        new ShardBootstrap(
            settings.bootstrap(),
            membership,
            output,
            () -> Set.copyOf(membersWithoutReplicas),
            replicas::adopt);
    this.maintenance = new ReplicaMaintenance(settings.bootstrap(), membership, output::event);
  }

  private static final int CONFIGURATION_POLL_MILLIS = 5_000;

  // ---- state for the runtime, operators and tests ----

  /** This node's id. */
  public MemberId self() {
    return self;
  }

  /** The members as this node believes them to be. */
  public Membership membership() {
    return membership;
  }

  /** The configuration. */
  public ConfigurationManager configuration() {
    return configuration;
  }

  /** The shard routes. */
  public ShardRoutes routes() {
    return routes;
  }

  /** The engines. */
  public EngineDirectory engines() {
    return engines;
  }

  /** The caller edge. */
  public CallerEdge edge() {
    return edge;
  }

  /** The scheduler's queue. */
  public CallScheduler scheduler() {
    return scheduler;
  }

  /** Number of shards. */
  public int shardCount() {
    return settings.bootstrap().shardCount();
  }

  /** The replica group of a shard on this node, or null. */
  public ReplicaGroup group(int shard) {
    ShardReplica replica = replicas.get(shard);
    return replica == null ? null : replica.group();
  }

  /** The shards of which this node holds a replica. */
  public Set<Integer> heldShards() {
    return replicas.shards();
  }

  /** The programs of a shard on this node, or null. */
  public ProgramShard programs(int shard) {
    ShardReplica replica = replicas.get(shard);
    return replica == null ? null : replica.shard();
  }

  /** Number of shards that this node leads and serves. */
  public int ledShards() {
    int led = 0;
    for (ShardReplica replica : replicas.all()) {
      if (replica.group().isReadyLeader()) {
        led++;
      }
    }
    return led;
  }

  /** True if callers' requests can be served: a configuration and all routes are known. */
  public boolean isReady() {
    return !stopping && configuration.image().version() > 0 && allShardsRouted();
  }

  /** Worked out anew only after a change of routes or members: there are a thousand shards. */
  private boolean allShardsRouted() {
    long digest = routes.digest();
    long changes = membership.changes();
    if (digest != routedDigest || changes != routedChanges) {
      routedDigest = digest;
      routedChanges = changes;
      routed = findAllShardsRouted();
    }
    return routed;
  }

  private boolean findAllShardsRouted() {
    for (int shard = 0; shard < shardCount(); shard++) {
      MemberId leader = routes.leader(shard);
      if (leader.equals(MemberId.NONE) || !membership.isRunning(leader)) {
        return false;
      }
    }
    return true;
  }

  // ---- time ----

  /** Lets time pass; called every few milliseconds. */
  public void tick(long nowMillis) {
    now = nowMillis;
    membership.tick(now);
    configuration.tick(now);
    bootstrap.tick(allShardsRouted(), now);
    inquireWhileUnserved();
    for (ShardReplica replica : replicas.all()) {
      replica.group().tick(now);
      if (replica.group().isReadyLeader()) {
        maintenance.maintain(replica.group(), now);
      }
      replica.coordinator().tick(now);
    }
    monitor.tick();
    scheduler.dispatchWaiting(now);
    edge.tick(now);
    if (stopping) {
      balancer.handOver(now);
    } else {
      balancer.balance(now);
    }
    announceReadiness();
    endCycle(nowMillis);
  }

  /** Ends a duty cycle: sends out what was proposed in it. */
  public void endCycle(long nowMillis) {
    now = nowMillis;
    runLocalMessages();
    for (ShardReplica replica : replicas.all()) {
      replica.coordinator().endCycle();
      replica.group().flush(now);
    }
    runLocalMessages();
  }

  private void runLocalMessages() {
    while (!localMessages.isEmpty()) {
      List<Runnable> batch = new ArrayList<>(localMessages);
      localMessages.clear();
      batch.forEach(Runnable::run);
    }
  }

  private void announceReadiness() {
    if (!announcedReady && isReady()) {
      announcedReady = true;
      output.event(LogEvent.NODE_READY);
    }
  }

  // ---- members and routes ----

  private final class Links implements NodeLinks {
    @Override
    public void send(MemberId to, PeerMessage message) {
      NodeCore.this.send(to, message);
    }

    @Override
    public void sendToOthers(PeerMessage message) {
      for (MemberUpdate member : membership.activeMembers()) {
        if (!member.id().equals(self)) {
          NodeCore.this.send(member.id(), message);
        }
      }
    }

    @Override
    public void updateRoute(ShardRoute route) {
      NodeCore.this.updateRoute(route);
    }

    @Override
    public long now() {
      return now;
    }
  }

  private final class MembershipAdapter implements MembershipOutput {
    @Override
    public void send(MemberId to, PeerMessage message) {
      NodeCore.this.send(to, message);
    }

    @Override
    public void sendToAddress(String host, int port, PeerMessage message) {
      output.sendToAddress(host, port, message);
    }

    @Override
    public void memberChanged(MemberUpdate previous, MemberUpdate present) {
      NodeCore.this.memberChanged(previous, present);
    }

    @Override
    public long configurationVersion() {
      return configuration == null ? 0 : configuration.image().version();
    }

    @Override
    public long routesDigest() {
      return routes.digest();
    }

    @Override
    public int replicas() {
      return replicas.count();
    }
  }

  private void memberChanged(MemberUpdate previous, MemberUpdate present) {
    monitor.outdate();
    boolean superseded = previous != null && !previous.id().equals(present.id());
    if (superseded) {
      membersWithoutReplicas.remove(previous.id());
    }
    if (previous == null || superseded || previous.status() != present.status()) {
      output.event(LogEvent.MEMBER_CHANGED, present.id(), present.status());
    }
    if (present.status() == MemberStatus.DEAD || superseded) {
      MemberId gone = superseded ? previous.id() : present.id();
      edge.connectionLost(gone, now);
    }
  }

  private void send(MemberId to, PeerMessage message) {
    if (to.equals(self)) {
      localMessages.add(() -> dispatch(self, message));
      return;
    }
    MemberUpdate member = membership.member(to.nodeId());
    if (member != null && member.id().equals(to)) {
      output.sendToPeer(to, member.address(), message);
    }
  }

  /** Handles a message of another node. */
  public void onPeerMessage(MemberId from, PeerMessage message, long nowMillis) {
    now = nowMillis;
    dispatch(from, message);
  }

  private void dispatch(MemberId from, PeerMessage message) {
    if (message instanceof GroupMessage groupMessage) {
      membersWithoutReplicas.remove(self);
      replicas.onMessage(from, groupMessage);
    } else if (message instanceof Probe probe) {
      onProbe(from, probe);
    } else if (message instanceof ForwardRequest forward) {
      onForwardRequest(from, forward);
    } else if (message instanceof ForwardReply reply) {
      edge.onReply(from, reply, now);
    } else if (message instanceof ForwardCancel cancel) {
      onForwardCancel(from, cancel);
    } else if (message instanceof RouteUpdate update) {
      update.routes().forEach(this::updateRoute);
    } else if (message instanceof ConfigurationDocument document) {
      configuration.onPeerDocument(document.version(), document.document());
    } else if (message instanceof EngineReports reports) {
      reports.reports().forEach(this::takeReport);
    } else if (message instanceof CacheInventory inventory) {
      onCacheInventory(inventory);
    }
  }

  private void onProbe(MemberId from, Probe probe) {
    membership.onProbe(from, probe, now);
    if (probe.replicas() == 0) {
      membersWithoutReplicas.add(from);
    } else {
      membersWithoutReplicas.remove(from);
    }
    if (probe.configurationVersion() < configuration.image().version()) {
      sendConfiguration(from);
    }
    if (probe.routesDigest() != routes.digest() && !routes.isEmpty()) {
      send(from, new RouteUpdate(routes.all()));
    }
  }

  private void updateRoute(ShardRoute route) {
    if (routes.update(route)) {
      edge.routeChanged(route.group().shard(), now);
    }
  }

  /** While shards have no leader, the first member needs to know who holds replicas. */
  private void inquireWhileUnserved() {
    boolean unserved = bootstrap.assignment() != null && !allShardsRouted();
    if (!unserved || !isDue("inquire", INQUIRY_MILLIS)) {
      return;
    }
    if (replicas.count() == 0) {
      membersWithoutReplicas.add(self);
    }
    for (MemberUpdate member : membership.activeMembers()) {
      if (!member.id().equals(self) && !membersWithoutReplicas.contains(member.id())) {
        membership.inquire(member.id());
      }
    }
  }

  private static final int INQUIRY_MILLIS = 1_000;

  private boolean isDue(String what, int intervalMillis) {
    Long last = lastEventMillis.get(what);
    if (last != null && now - last < intervalMillis) {
      return false;
    }
    lastEventMillis.put(what, now);
    return true;
  }

  // ---- callers ----

  private final class EdgeAdapter implements EdgeOutput {
    @Override
    public void send(MemberId to, PeerMessage message) {
      NodeCore.this.send(to, message);
    }

    @Override
    public void deliver(long requestId, CallerReply reply) {
      output.deliver(requestId, reply);
    }
  }

  /** A caller's request has come to this node. */
  public void submit(long requestId, CallerRequest request, boolean keyFromCaller, long nowMillis) {
    now = nowMillis;
    if (stopping && !keyFromCaller) {
      ErrorKind kind = ErrorKind.STOPPING;
      output.deliver(
          requestId,
          new CallerReply.Failed(kind, kind.summary(), settings.edge().retryAfterMillis()));
      return;
    }
    edge.submit(requestId, request, keyFromCaller, now);
  }

  /** A caller has gone. */
  public void cancel(long requestId, long nowMillis) {
    now = nowMillis;
    edge.cancel(requestId, now);
  }

  private void onForwardRequest(MemberId from, ForwardRequest forward) {
    CallerOrigin origin = new CallerOrigin(from, forward.edgeRequestId());
    ShardReplica replica = replicas.get(forward.request().shard());
    if (replica == null) {
      send(from, new ForwardReply(origin.requestId(), new CallerReply.NotLeader()));
      return;
    }
    replica.coordinator().handle(forward.request(), origin, now);
    scheduler.dispatchWaiting(now);
  }

  private void onForwardCancel(MemberId from, ForwardCancel cancel) {
    ShardReplica replica = replicas.get(cancel.shard());
    if (replica != null) {
      replica.coordinator().cancel(new CallerOrigin(from, cancel.edgeRequestId()), now);
    }
  }

  // ---- back ends ----

  /** Generated text has arrived. */
  public void onAttemptText(AttemptId id, int offset, Payload text, long nowMillis) {
    now = nowMillis;
    ShardCoordinator coordinator = replicas.coordinatorOf(id.programId());
    if (coordinator != null) {
      coordinator.onAttemptText(id, offset, text, now);
    }
  }

  /** An attempt has its whole answer. */
  public void onAttemptCompleted(AttemptId id, Payload answer, Usage usage, long nowMillis) {
    now = nowMillis;
    ShardCoordinator coordinator = replicas.coordinatorOf(id.programId());
    if (coordinator != null) {
      coordinator.onAttemptCompleted(id, answer, usage);
      scheduler.dispatchWaiting(now);
    }
  }

  /** An attempt failed. */
  public void onAttemptFailed(AttemptId id, AttemptFailure failure, long nowMillis) {
    now = nowMillis;
    ShardCoordinator coordinator = replicas.coordinatorOf(id.programId());
    if (coordinator != null) {
      coordinator.onAttemptFailed(id, failure, now);
      scheduler.dispatchWaiting(now);
    }
  }

  /** An engine confirmed that it holds nothing of a program. */
  public void onCacheReleased(String engine, String programId, long nowMillis) {
    now = nowMillis;
    ShardCoordinator coordinator = replicas.coordinatorOf(programId);
    if (coordinator != null) {
      coordinator.onCacheReleased(engine, programId);
    }
  }

  /** An engine that this node polled has answered, or has not. */
  public void onEngineReport(EngineReport report, long nowMillis) {
    now = nowMillis;
    if (monitor.onPolled(report)) {
      scheduler.dispatchWaiting(now);
    }
  }

  private void takeReport(EngineReport report) {
    if (monitor.onPeerReport(report)) {
      scheduler.dispatchWaiting(now);
    }
  }

  /** An engine that this node polled has told what it caches. */
  public void onInventory(String engine, Collection<String> programIds, long nowMillis) {
    now = nowMillis;
    monitor.onInventory(engine, programIds);
  }

  private void onCacheInventory(CacheInventory inventory) {
    ShardReplica replica = replicas.get(inventory.shard());
    if (replica != null) {
      replica.coordinator().onInventory(inventory.engine(), inventory.programIds(), now);
    }
  }

  // ---- configuration ----

  private void configurationAdopted(ConfigurationImage image, Payload document) {
    output.event(LogEvent.CONFIGURATION_ADOPTED, image.version());
    engines.configure(image);
    monitor.outdate();
    List<MemberUpdate> others = new ArrayList<>(membership.activeMembers());
    others.removeIf(member -> member.id().equals(self));
    for (int i = 0; i < SPREAD_FANOUT && !others.isEmpty(); i++) {
      sendConfiguration(others.remove(random.nextInt(others.size())).id());
    }
  }

  private void sendConfiguration(MemberId to) {
    send(to, new ConfigurationDocument(configuration.image().version(), configuration.document()));
  }

  /** Confirms a plan. */
  public void confirm(
      ConfigurationPlan plan,
      long nowMillis,
      Consumer<ConfigurationManager.Confirmation> callback) {
    now = nowMillis;
    configuration.confirm(plan, nowMillis, callback);
  }

  // ---- leadership balance and planned stop ----

  /** Begins a planned stop: no new callers, shards are handed over, streams are finished. */
  public void beginStop(long nowMillis) {
    now = nowMillis;
    if (!stopping) {
      stopping = true;
      membership.leave();
      output.event(LogEvent.NODE_STOPPING);
    }
  }

  /** True once a planned stop cuts nothing off, and no group needs this replica any more. */
  public boolean isDrained() {
    return stopping && edge.pendingRequests() == 0 && balancer.isDispensable();
  }
}
