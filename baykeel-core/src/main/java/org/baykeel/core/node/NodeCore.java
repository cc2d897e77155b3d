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
import java.util.TreeMap;
import java.util.function.Consumer;
import org.baykeel.core.bootstrap.ReplicaMaintenance;
import org.baykeel.core.bootstrap.ShardAssignment;
import org.baykeel.core.bootstrap.ShardBootstrap;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.configuration.ConfigurationManager;
import org.baykeel.core.configuration.ConfigurationPlan;
import org.baykeel.core.configuration.Declarations.Engine;
import org.baykeel.core.edge.CallerEdge;
import org.baykeel.core.edge.EdgeOutput;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.membership.Membership;
import org.baykeel.core.membership.MembershipOutput;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.GroupId;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberStatus;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.message.PeerMessage.AppendResponse;
import org.baykeel.core.message.PeerMessage.CacheInventory;
import org.baykeel.core.message.PeerMessage.ConfigurationDocument;
import org.baykeel.core.message.PeerMessage.EngineReports;
import org.baykeel.core.message.PeerMessage.ForwardCancel;
import org.baykeel.core.message.PeerMessage.ForwardReply;
import org.baykeel.core.message.PeerMessage.ForwardRequest;
import org.baykeel.core.message.PeerMessage.GroupMessage;
import org.baykeel.core.message.PeerMessage.Probe;
import org.baykeel.core.message.PeerMessage.RouteUpdate;
import org.baykeel.core.message.PeerMessage.VoteResponse;
import org.baykeel.core.message.ShardRoute;
import org.baykeel.core.message.Usage;
import org.baykeel.core.program.CallerOrigin;
import org.baykeel.core.program.CoordinatorOutput;
import org.baykeel.core.program.ProgramShard;
import org.baykeel.core.program.ShardCoordinator;
import org.baykeel.core.replication.ReplicaGroup;
import org.baykeel.core.replication.ReplicationOutput;
import org.baykeel.core.retry.RetryBudget;
import org.baykeel.core.routing.ProgramIds;
import org.baykeel.core.routing.ShardRoutes;
import org.baykeel.core.scheduling.CallScheduler;
import org.baykeel.core.scheduling.EngineDirectory;
import org.baykeel.core.scheduling.EngineSelector;
import org.baykeel.core.scheduling.EngineWatch;

/**
 * A node's whole logic, without thread, socket or clock. Every input is a method call that carries
 * the time; every effect goes through {@link NodeOutput}. All calls must come from one thread.
 */
public final class NodeCore {
  private static final int SPREAD_FANOUT = 4;
  private static final double RETRIES_PER_ATTEMPT = 0.2;
  private static final int BALANCE_MILLIS = 5_000;

  private final MemberId self;
  private final NodeSettings settings;
  private final NodeOutput output;
  private final SplittableRandom random;
  private final Membership membership;
  private final ShardRoutes routes = new ShardRoutes();
  private final ConfigurationManager configuration;
  private final EngineDirectory engines = new EngineDirectory();
  private final EngineWatch watch;
  private final CallScheduler scheduler;
  private final CallerEdge edge;
  private final ShardBootstrap bootstrap;
  private final ReplicaMaintenance maintenance;
  private final RetryBudget retryBudget = new RetryBudget(RETRIES_PER_ATTEMPT);
  private final Map<Integer, ShardReplica> replicas = new TreeMap<>();
  private final Set<MemberId> membersWithoutReplicas = new HashSet<>();
  private final List<Runnable> localMessages = new ArrayList<>();
  private final Map<String, Long> lastEventMillis = new HashMap<>();

  private long now;
  private long nextPollMillis;
  private long nextInventoryMillis;
  private long nextBalanceMillis;
  private boolean watchOutdated = true;
  private boolean stopping;
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
    this.watch = new EngineWatch(self, settings.scheduling().watchersPerEngine());
    EngineSelector selector =
        settings.scheduling().policy().create(settings.scheduling().costs(), random.split());
    this.scheduler =
        new CallScheduler(
            engines,
            selector,
            settings.scheduling().maximumWaiting(),
            settings.scheduling().byProgram());
    this.edge = new CallerEdge(self, routes, settings.edge(), new EdgeAdapter());
    this.bootstrap =
        new ShardBootstrap(
            settings.bootstrap(),
            membership,
            output,
            () -> Set.copyOf(membersWithoutReplicas),
            this::adoptAssignment);
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

  /** The programs of a shard on this node, or null. */
  public ProgramShard programs(int shard) {
    ShardReplica replica = replicas.get(shard);
    return replica == null ? null : replica.shard();
  }

  /** Number of shards that this node leads and serves. */
  public int ledShards() {
    int led = 0;
    for (ShardReplica replica : replicas.values()) {
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

  private boolean allShardsRouted() {
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
    for (ShardReplica replica : List.copyOf(replicas.values())) {
      replica.group().tick(now);
      if (replica.group().isReadyLeader()) {
        maintenance.maintain(replica.group(), now);
      }
      replica.coordinator().tick(now);
    }
    pollEngines();
    scheduler.dispatchWaiting(now);
    edge.tick(now);
    if (stopping) {
      handOverLeadership();
    } else {
      balanceLeadership();
    }
    announceReadiness();
    endCycle(nowMillis);
  }

  /** Ends a duty cycle: sends out what was proposed in it. */
  public void endCycle(long nowMillis) {
    now = nowMillis;
    runLocalMessages();
    for (ShardReplica replica : List.copyOf(replicas.values())) {
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
      return replicas.size();
    }
  }

  private void memberChanged(MemberUpdate previous, MemberUpdate present) {
    watchOutdated = true;
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
      onGroupMessage(from, groupMessage);
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
    if (probe.routesDigest() != routes.digest() && !routes.all().isEmpty()) {
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
    if (replicas.isEmpty()) {
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

  // ---- shards ----

  private void adoptAssignment(ShardAssignment assignment) {
    output.event(LogEvent.SHARDS_ASSIGNED, assignment.shards().size(), assignment.generation());
    for (int shard = 0; shard < assignment.shards().size(); shard++) {
      List<MemberId> members = assignment.shards().get(shard);
      GroupId group = new GroupId(shard, assignment.generation());
      if (members.contains(self) && !holds(group)) {
        createReplica(group, members);
      }
    }
  }

  private boolean holds(GroupId group) {
    ShardReplica present = replicas.get(group.shard());
    return present != null && present.group().group().generation() >= group.generation();
  }

  private ShardReplica createReplica(GroupId group, List<MemberId> members) {
    ShardReplica old = replicas.get(group.shard());
    if (old != null) {
      old.coordinator().leadershipLost();
    }
    membersWithoutReplicas.remove(self);
    ProgramShard shard = new ProgramShard();
    ShardAdapter adapter = new ShardAdapter(group);
    ReplicaGroup replicaGroup =
        new ReplicaGroup(
            group, self, members, settings.replication(), shard, adapter, random.split(), now);
    ShardCoordinator coordinator =
        new ShardCoordinator(
            group,
            self,
            shard,
            settings.coordinator(),
            settings.replication().electionMillis() / 2,
            configuration::image,
            engines,
            scheduler,
            retryBudget,
            adapter);
    ShardReplica replica = new ShardReplica(replicaGroup, shard, coordinator);
    replicas.put(group.shard(), replica);
    return replica;
  }

  private void onGroupMessage(MemberId from, GroupMessage message) {
    GroupId group = message.group();
    ShardReplica replica = replicas.get(group.shard());
    boolean unknown = replica == null || replica.group().group().generation() < group.generation();
    if (unknown) {
      boolean answer = message instanceof VoteResponse || message instanceof AppendResponse;
      if (answer) {
        return;
      }
      // The sender counts this very incarnation as a member or learner.
      replica = createReplica(group, List.of());
    }
    if (replica.group().group().equals(group)) {
      replica.group().onMessage(from, message, now);
    }
  }

  /** Connects one shard's group and coordinator with the node. */
  private final class ShardAdapter implements ReplicationOutput, CoordinatorOutput {
    private final GroupId group;

    ShardAdapter(GroupId group) {
      this.group = group;
    }

    private ShardReplica replica() {
      return replicas.get(group.shard());
    }

    @Override
    public void send(MemberId to, PeerMessage message) {
      NodeCore.this.send(to, message);
    }

    @Override
    public void becameLeader(ReplicaGroup leader) {
      output.event(LogEvent.LEADER_ELECTED, group.shard(), leader.term());
    }

    @Override
    public void leaderReady(ReplicaGroup leader) {
      ShardRoute route = new ShardRoute(group, leader.term(), self);
      updateRoute(route);
      RouteUpdate update = new RouteUpdate(List.of(route));
      for (MemberUpdate member : membership.activeMembers()) {
        if (!member.id().equals(self)) {
          send(member.id(), update);
        }
      }
      replica().coordinator().leaderReady(now);
    }

    @Override
    public void lostLeadership(ReplicaGroup former) {
      output.event(LogEvent.LEADERSHIP_LOST, group.shard(), former.term());
      replica().coordinator().leadershipLost();
    }

    @Override
    public void applied(ReplicaGroup applier, long index, LogRecord record) {
      if (applier.role() == ReplicaGroup.Role.LEADER) {
        replica().coordinator().onApplied(index, record, now);
      }
    }

    @Override
    public long propose(LogRecord record) {
      return replica().group().propose(record);
    }

    @Override
    public void reply(CallerOrigin origin, CallerReply reply) {
      send(origin.edge(), new ForwardReply(origin.requestId(), reply));
    }

    @Override
    public void startAttempt(BackendAttempt attempt) {
      output.startAttempt(attempt);
    }

    @Override
    public void cancelAttempt(AttemptId id, String backend, String address) {
      output.cancelAttempt(id, backend, address);
    }

    @Override
    public void abandonAttempt(AttemptId id) {
      output.abandonAttempt(id);
    }

    @Override
    public void releaseCache(String engine, String address, String programId) {
      output.releaseCache(engine, address, programId);
    }

    @Override
    public void event(LogEvent event, Object... arguments) {
      output.event(event, arguments);
    }
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

  private ShardCoordinator coordinatorOf(String programId) {
    int shard = ProgramIds.shardOf(programId, shardCount());
    ShardReplica replica = replicas.get(shard);
    return replica == null ? null : replica.coordinator();
  }

  /** Generated text has arrived. */
  public void onAttemptText(AttemptId id, int offset, Payload text, long nowMillis) {
    now = nowMillis;
    ShardCoordinator coordinator = coordinatorOf(id.programId());
    if (coordinator != null) {
      coordinator.onAttemptText(id, offset, text, now);
    }
  }

  /** An attempt has its whole answer. */
  public void onAttemptCompleted(AttemptId id, Payload answer, Usage usage, long nowMillis) {
    now = nowMillis;
    ShardCoordinator coordinator = coordinatorOf(id.programId());
    if (coordinator != null) {
      coordinator.onAttemptCompleted(id, answer, usage);
      scheduler.dispatchWaiting(now);
    }
  }

  /** An attempt failed. */
  public void onAttemptFailed(AttemptId id, AttemptFailure failure, long nowMillis) {
    now = nowMillis;
    ShardCoordinator coordinator = coordinatorOf(id.programId());
    if (coordinator != null) {
      coordinator.onAttemptFailed(id, failure, now);
      scheduler.dispatchWaiting(now);
    }
  }

  /** An engine confirmed that it holds nothing of a program. */
  public void onCacheReleased(String engine, String programId, long nowMillis) {
    now = nowMillis;
    ShardCoordinator coordinator = coordinatorOf(programId);
    if (coordinator != null) {
      coordinator.onCacheReleased(engine, programId);
    }
  }

  /** An engine that this node polled has answered, or has not. */
  public void onEngineReport(EngineReport report, long nowMillis) {
    now = nowMillis;
    EngineReport before = engines.report(report.engine());
    if (before == null || before.status() != report.status()) {
      output.event(LogEvent.ENGINE_STATUS, report.engine(), report.status());
    }
    takeReport(report);
    Engine engine = configuration.image().engine(report.engine());
    if (engine != null && watch.isWorthSpreading(report, engine.concurrency())) {
      EngineReports message = new EngineReports(List.of(report));
      for (MemberUpdate member : membership.activeMembers()) {
        if (!member.id().equals(self)) {
          send(member.id(), message);
        }
      }
    }
  }

  private void takeReport(EngineReport report) {
    if (engines.onReport(report)) {
      scheduler.dispatchWaiting(now);
    }
  }

  /** An engine that this node polled has told what it caches. */
  public void onInventory(String engine, Collection<String> programIds, long nowMillis) {
    now = nowMillis;
    Map<Integer, List<String>> byShard = new TreeMap<>();
    for (String programId : programIds) {
      int shard = ProgramIds.shardOf(programId, shardCount());
      if (shard >= 0) {
        byShard.computeIfAbsent(shard, key -> new ArrayList<>()).add(programId);
      }
    }
    byShard.forEach(
        (shard, ids) -> send(routes.leader(shard), new CacheInventory(shard, engine, ids)));
  }

  private void onCacheInventory(CacheInventory inventory) {
    ShardReplica replica = replicas.get(inventory.shard());
    if (replica != null) {
      replica.coordinator().onInventory(inventory.engine(), inventory.programIds(), now);
    }
  }

  private void pollEngines() {
    if (watchOutdated) {
      watchOutdated = false;
      watch.reassign(configuration.image(), membership.activeMembers());
    }
    boolean pollDue = now >= nextPollMillis;
    boolean inventoryDue = now >= nextInventoryMillis;
    if (pollDue) {
      nextPollMillis = now + settings.scheduling().pollMillis();
    }
    if (inventoryDue) {
      nextInventoryMillis = now + settings.scheduling().inventoryMillis();
    }
    if (!pollDue && !inventoryDue) {
      return;
    }
    for (String engine : watch.watched()) {
      if (pollDue) {
        output.pollEngine(engine, engines.address(engine));
      }
      if (inventoryDue) {
        output.pollInventory(engine, engines.address(engine));
      }
    }
  }

  // ---- configuration ----

  private void configurationAdopted(ConfigurationImage image, Payload document) {
    output.event(LogEvent.CONFIGURATION_ADOPTED, image.version());
    engines.configure(image);
    watchOutdated = true;
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

  /** Gives one shard away if this node leads more than its share. */
  private void balanceLeadership() {
    if (now < nextBalanceMillis) {
      return;
    }
    nextBalanceMillis = now + BALANCE_MILLIS + random.nextInt(BALANCE_MILLIS);
    Map<MemberId, Integer> led = new HashMap<>();
    routes.all().forEach(route -> led.merge(route.leader(), 1, Integer::sum));
    int active = Math.max(1, membership.activeMembers().size());
    int share = (shardCount() + active - 1) / active;
    if (led.getOrDefault(self, 0) <= share) {
      return;
    }
    for (ShardReplica replica : replicas.values()) {
      Set<MemberId> lighter = lighterMembers(replica.group(), led, share);
      if (replica.group().isReadyLeader() && !lighter.isEmpty()) {
        replica.group().transferLeadership(lighter, now);
        return;
      }
    }
  }

  private Set<MemberId> lighterMembers(ReplicaGroup group, Map<MemberId, Integer> led, int share) {
    Set<MemberId> lighter = new HashSet<>();
    for (MemberId member : group.members()) {
      MemberUpdate update = membership.member(member.nodeId());
      boolean alive =
          update != null && update.id().equals(member) && update.status() == MemberStatus.ALIVE;
      if (alive && !member.equals(self) && led.getOrDefault(member, 0) < share) {
        lighter.add(member);
      }
    }
    return lighter;
  }

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
    return stopping
        && edge.pendingRequests() == 0
        && !leadsAnything()
        && replicas.values().stream().allMatch(replica -> isDispensable(replica.group()));
  }

  /**
   * A stop is a loss of a copy. It waits while any other member of the group is gone, so that the
   * stop and the next failure together are never more than two losses.
   */
  private boolean isDispensable(ReplicaGroup group) {
    if (!group.isMember()) {
      return true;
    }
    for (MemberId member : group.members()) {
      if (!member.equals(self) && !stays(member)) {
        return false;
      }
    }
    return true;
  }

  /** Of two members that both want to leave, the one with the lower number goes first. */
  private boolean stays(MemberId member) {
    MemberUpdate update = membership.member(member.nodeId());
    if (update == null || !update.id().equals(member)) {
      return false;
    }
    boolean leavesLater =
        update.status() == MemberStatus.LEAVING && member.nodeId() > self.nodeId();
    return update.status() == MemberStatus.ALIVE || leavesLater;
  }

  private boolean leadsAnything() {
    for (ShardReplica replica : replicas.values()) {
      if (replica.group().role() == ReplicaGroup.Role.LEADER) {
        return true;
      }
    }
    return false;
  }

  private void handOverLeadership() {
    for (ShardReplica replica : replicas.values()) {
      ReplicaGroup group = replica.group();
      if (!group.isReadyLeader()) {
        continue;
      }
      replica.coordinator().drain();
      if (!replica.coordinator().hasDispatchedCalls()) {
        Set<MemberId> others = lighterMembers(group, Map.of(), Integer.MAX_VALUE);
        group.transferLeadership(others, now);
      }
    }
  }
}
