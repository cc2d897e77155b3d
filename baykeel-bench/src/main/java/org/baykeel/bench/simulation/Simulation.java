package org.baykeel.bench.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.baykeel.bench.replay.Promise;
import org.baykeel.core.bootstrap.BootstrapSettings;
import org.baykeel.core.configuration.ConfigurationManager;
import org.baykeel.core.configuration.ConfigurationPlan;
import org.baykeel.core.configuration.DeclarationCodec;
import org.baykeel.core.configuration.Declarations;
import org.baykeel.core.edge.EdgeSettings;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.membership.Membership.Seed;
import org.baykeel.core.membership.MembershipSettings;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.node.NodeSettings;
import org.baykeel.core.node.SchedulingSettings;
import org.baykeel.core.program.CoordinatorSettings;
import org.baykeel.core.replication.ReplicationSettings;
import org.baykeel.emulator.engine.EngineCosts;

/**
 * A whole installation in virtual time: nodes, engines, a tool service, the platform, operators and
 * callers, under a schedule of faults. Everything follows from the schedule.
 */
public final class Simulation {
  private static final int SHARDS = 4;
  private static final int PEER_MICROS = 800;
  private static final int PROGRAMS = 14;
  private static final int SPAN_MILLIS = 30_000;
  private static final int SETTLE_MILLIS = 120_000;
  private static final int RELEASE_MILLIS = 20_000;
  private static final int LEAVING_GRACE_MILLIS = 6_000;
  private static final int IN_FORCE_MILLIS = 14_000;
  private static final long ORDINARY_BUDGET = 200_000;
  private static final long POOR_BUDGET = 2_000;

  /** Generated tokens cost most, so that a reservation is close to what an attempt uses. */
  private static final long COMPLETION_PRICE = 20;

  private final int nodeCount;
  private final int engineCount;
  private final FaultSchedule schedule;
  private final VirtualTime time = new VirtualTime();
  private final SplittableRandom random;
  private final Observer observer = new Observer();
  private final SimulatedPlatform platform = new SimulatedPlatform(time);
  private final List<SimulatedNode> nodes = new ArrayList<>();
  private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
  private final SimulatedTool tool;
  private final List<SimulatedCaller> callers = new ArrayList<>();
  private final Map<String, SimulatedCaller> callersByProgram = new HashMap<>();
  private final Map<Long, Waiting> waiting = new HashMap<>();
  private final Map<Integer, Integer> cutNodes = new HashMap<>();
  private final Map<String, Long> notServingSince = new HashMap<>();
  private final Set<LogEvent> loggedEvents = new HashSet<>();
  private final List<String> log = new ArrayList<>();
  private final boolean keepLog;
  private int splits;
  private int badNetwork;
  private long nextRequestId = 1;
  private long messages;

  private record Waiting(SimulatedNode edge, int life, Consumer<CallerReply> sink) {}

  /** What a run has shown. */
  public record Result(
      List<Observer.Violation> violations, long steps, long messages, List<String> log) {}

  /**
   * An installation that has not begun to run.
   *
   * @param keepLog true to keep the nodes' log events for the result
   */
  public Simulation(int nodeCount, int engineCount, FaultSchedule schedule, boolean keepLog) {
    this.nodeCount = nodeCount;
    this.engineCount = engineCount;
    this.schedule = schedule;
    this.keepLog = keepLog;
    this.random = new SplittableRandom(schedule.seed());
    this.tool = new SimulatedTool(time, random.split(), this::toolStarted);
    for (int i = 0; i < nodeCount; i++) {
      String zone = "zone-" + i % 3;
      nodes.add(new SimulatedNode(this, i, new NodeAddress("10.0.0." + i, 1, 2, zone, "region")));
    }
    EngineCosts costs = new EngineCosts(8_000, 12_000, 250, 2_048, 8, 20_000, 16);
    for (int i = 0; i < engineCount; i++) {
      String name = "engine-" + i;
      engines.put(name, new SimulatedEngine(time, name, costs, new EngineWatcher()));
    }
  }

  // ---- the run ----

  /** Runs to the end. */
  public Result run() {
    nodes.forEach(SimulatedNode::start);
    time.runUntil(time.millis() + 6_000);
    declare(0, "serving", nodes.get(0), SETTLE_MILLIS);
    time.runUntil(time.millis() + 3_000);
    long start = time.millis();
    for (int i = 0; i < PROGRAMS; i++) {
      String name = "program-" + i;
      SimulatedCaller caller = new SimulatedCaller(this, random.split(), "tenant", name, null);
      callers.add(caller);
      time.afterMillis(random.nextInt(SPAN_MILLIS), caller::begin);
    }
    schedule.faults().forEach(this::plan);
    time.runUntil(start + SPAN_MILLIS);
    runUntilDone(start + SPAN_MILLIS + SETTLE_MILLIS);
    time.runUntil(time.millis() + RELEASE_MILLIS);
    checkEnd();
    return new Result(observer.violations(), time.steps(), messages, List.copyOf(log));
  }

  private void runUntilDone(long limitMillis) {
    while (time.millis() < limitMillis && !callers.stream().allMatch(SimulatedCaller::isDone)) {
      time.runUntil(time.millis() + 500);
    }
  }

  private void checkEnd() {
    for (SimulatedCaller caller : callers) {
      if (!caller.isDone()) {
        observer.violation(
            Promise.WHOLE_ANSWER, "no answer long after all faults: " + caller.describe());
      }
    }
    for (SimulatedEngine engine : engines.values()) {
      for (String programId : engine.model().cachedPrograms()) {
        observer.stillCached(engine.name(), programId);
      }
    }
    for (SimulatedNode node : nodes) {
      long version = node.core().configuration().image().version();
      if (version < observer.acceptedVersion()) {
        observer.violation(
            Promise.CONFIGURATION,
            "node " + node.index() + " has version " + version + " long after all faults");
      }
    }
  }

  // ---- parts for nodes and callers ----

  VirtualTime time() {
    return time;
  }

  SplittableRandom random() {
    return random;
  }

  Observer observer() {
    return observer;
  }

  SimulatedPlatform platform() {
    return platform;
  }

  SimulatedTool tool() {
    return tool;
  }

  SimulatedEngine engine(String name) {
    return engines.get(name);
  }

  int shardCount() {
    return SHARDS;
  }

  static long budgetOf(String programClass) {
    return programClass.equals("poor") ? POOR_BUDGET : ORDINARY_BUDGET;
  }

  void register(SimulatedCaller caller) {
    callersByProgram.put(caller.programId(), caller);
  }

  NodeSettings nodeSettings() {
    List<Seed> seeds = new ArrayList<>();
    for (int i = 0; i < nodeCount; i++) {
      seeds.add(new Seed("10.0.0." + i, 1));
    }
    BootstrapSettings bootstrap = new BootstrapSettings(SHARDS, 5, nodeCount, 1_000, 1_000, 3_000);
    CoordinatorSettings coordinator =
        new CoordinatorSettings(32, 4, 3_000, 5_000, 600_000, 86_400_000);
    EdgeSettings edge = new EdgeSettings(1_000, 6_000, 1_000, 10_000);
    return new NodeSettings(
        seeds,
        MembershipSettings.DEFAULT,
        new ReplicationSettings(250, 1_500, 64, 64),
        bootstrap,
        coordinator,
        edge,
        SchedulingSettings.DEFAULT);
  }

  void logged(int node, LogEvent event, Object... arguments) {
    loggedEvents.add(event);
    if (keepLog) {
      log.add(time.millis() + " node " + node + " " + event + " " + List.of(arguments));
    }
  }

  /** Keeps a line about what callers and back ends see. */
  void note(String line) {
    if (keepLog) {
      log.add(time.millis() + " " + line);
    }
  }

  /** The events that were logged at least once. */
  public Set<LogEvent> loggedEvents() {
    return Set.copyOf(loggedEvents);
  }

  // ---- network between nodes ----

  void send(
      SimulatedNode from, MemberId self, MemberId to, NodeAddress address, PeerMessage message) {
    SimulatedNode target = nodeAt(address);
    messages++;
    if (target == null || isCut(from, target)) {
      return;
    }
    boolean bad = badNetwork > 0;
    if (bad && random.nextInt(5) == 0) {
      return;
    }
    int copies = bad && random.nextInt(10) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = (long) PEER_MICROS + random.nextInt(PEER_MICROS);
      if (bad && random.nextInt(4) == 0) {
        delay += 1_000L * random.nextInt(400);
      }
      time.after(delay, () -> target.receive(self, to, message));
    }
  }

  private SimulatedNode nodeAt(NodeAddress address) {
    for (SimulatedNode node : nodes) {
      if (node.address().host().equals(address.host())) {
        return node;
      }
    }
    return null;
  }

  private boolean isCut(SimulatedNode a, SimulatedNode b) {
    boolean split = splits > 0 && a.index() % 2 != b.index() % 2;
    return split || cutNodes.containsKey(a.index()) || cutNodes.containsKey(b.index());
  }

  // ---- callers ----

  /** A node that a caller would try: any that runs, frozen ones included. */
  SimulatedNode someNode(SplittableRandom callerRandom) {
    List<SimulatedNode> running = new ArrayList<>();
    for (SimulatedNode node : nodes) {
      if (node.isAlive() && !node.isStopping()) {
        running.add(node);
      }
    }
    return running.isEmpty() ? null : running.get(callerRandom.nextInt(running.size()));
  }

  /** A number for a caller's request. */
  long nextRequestId() {
    return nextRequestId++;
  }

  void submit(
      SimulatedNode edge, long requestId, CallerRequest request, Consumer<CallerReply> sink) {
    int life = edge.life();
    note(
        "caller sends "
            + requestId
            + " to node "
            + edge.index()
            + ": "
            + request.kind()
            + " "
            + request.programId()
            + ":"
            + request.idempotencyKey());
    waiting.put(requestId, new Waiting(edge, life, sink));
    time.after(
        PEER_MICROS,
        () -> edge.run(life, () -> edge.core().submit(requestId, request, true, time.millis())));
  }

  void hangUp(SimulatedNode edge, int life, long requestId) {
    note("caller hangs up " + requestId);
    waiting.remove(requestId);
    edge.run(life, () -> edge.core().cancel(requestId, time.millis()));
  }

  void deliver(SimulatedNode edge, int life, long requestId, CallerReply reply) {
    Waiting item = waiting.get(requestId);
    if (item == null || item.edge() != edge || item.life() != life) {
      return;
    }
    if (!(reply instanceof CallerReply.Chunk)) {
      note("answer to " + requestId + ": " + reply);
      waiting.remove(requestId);
    }
    time.after(PEER_MICROS, () -> item.sink().accept(reply));
  }

  /** A node's process has ended: its connections break. */
  void nodeGone(SimulatedNode node) {
    List<Long> lost = new ArrayList<>();
    waiting.forEach(
        (requestId, item) -> {
          if (item.edge() == node) {
            lost.add(requestId);
          }
        });
    lost.sort(null);
    for (long requestId : lost) {
      Consumer<CallerReply> sink = waiting.remove(requestId).sink();
      time.after(PEER_MICROS, () -> sink.accept(null));
    }
    time.after(PEER_MICROS, () -> engines.values().forEach(SimulatedEngine::dropDisconnected));
  }

  // ---- back ends ----

  void cancel(String backend, String streamId) {
    SimulatedEngine engine = engines.get(backend);
    if (engine != null) {
      engine.cancel(streamId);
    }
  }

  void abandon(String streamId) {
    engines.values().forEach(engine -> engine.abandon(streamId));
  }

  private final class EngineWatcher implements SimulatedEngine.Watcher {
    @Override
    public void started(String engine, BackendAttempt attempt, List<String> contents) {
      Long since = notServingSince.get(engine);
      if (since != null && time.millis() - since > LEAVING_GRACE_MILLIS) {
        observer.violation(
            Promise.LEAVING_BACKEND,
            engine + " got work " + (time.millis() - since) + " ms after it was drained");
      }
      noteStart(attempt);
    }

    @Override
    public void read(String programId, long tokens) {
      observer.used(rootOf(programId), tokens);
    }

    @Override
    public void generated(String programId) {
      observer.used(rootOf(programId), COMPLETION_PRICE);
    }
  }

  private void toolStarted(BackendAttempt attempt) {
    noteStart(attempt);
    observer.used(rootOf(attempt.id().programId()), 1);
  }

  private String rootOf(String programId) {
    return callersByProgram.get(programId).root();
  }

  private void noteStart(BackendAttempt attempt) {
    String key = attempt.idempotencyKey();
    note("back end " + attempt.backend() + " begins " + attempt.id() + " for " + key);
    String callKey = key.substring(key.indexOf(':') + 1);
    int number = Integer.parseInt(callKey.substring(callKey.lastIndexOf('-') + 1));
    boolean repeatable = attempt.kind() == CallKind.MODEL || attempt.operation().equals("lookup");
    observer.backendStarted(attempt.id().programId(), number, callKey, repeatable);
  }

  // ---- operators ----

  void observe(SimulatedNode node) {
    if (node.core().isReady()) {
      observer.inForce(node.index(), node.core().configuration().image().version());
    }
    if (node.isStopping() && node.core().isDrained()) {
      checkStop(node);
      node.kill();
    }
  }

  private void checkStop(SimulatedNode node) {
    for (Waiting item : waiting.values()) {
      if (item.edge() == node && item.life() == node.life()) {
        observer.violation(Promise.PLANNED_STOP, "node " + node.index() + " cut off a request");
      }
    }
  }

  private Declarations declarations(int drained, String marker) {
    List<Declarations.Engine> declared = new ArrayList<>();
    for (int i = 0; i < engineCount; i++) {
      boolean drains = i + 1 == drained;
      declared.add(
          new Declarations.Engine(
              "engine-" + i,
              "127.0.0.1:" + (1_000 + i),
              "zone-" + i % 3,
              List.of("model"),
              8,
              20_000,
              drains ? Declarations.BackendState.DRAINING : Declarations.BackendState.SERVING));
    }
    Declarations.Tool declaredTool =
        new Declarations.Tool(
            "tool",
            List.of("127.0.0.1:2000"),
            Declarations.BackendState.SERVING,
            List.of(
                new Declarations.Operation("lookup", true, 1, 2_000),
                new Declarations.Operation("upload", false, 1, 2_000)));
    return new Declarations(
        List.of(new Declarations.Tenant("tenant", marker, 1_000)),
        List.of(new Declarations.Model("model", 1, COMPLETION_PRICE, 100_000)),
        declared,
        List.of(declaredTool),
        List.of(
            new Declarations.ProgramClass("ordinary", 20, ORDINARY_BUDGET, 260, 60_000),
            new Declarations.ProgramClass("poor", 30, POOR_BUDGET, 260, 60_000)));
  }

  /** An operator plans and confirms through one node. */
  private void declare(int drained, String marker, SimulatedNode node, int patienceMillis) {
    if (!node.isAlive() || node.isStopping()) {
      return;
    }
    int life = node.life();
    node.run(
        life,
        () -> {
          ConfigurationPlan plan =
              node.core()
                  .configuration()
                  .plan(DeclarationCodec.encode(declarations(drained, marker)));
          confirm(plan, drained, node, life, time.millis() + patienceMillis);
        });
  }

  private void confirm(
      ConfigurationPlan plan, int drained, SimulatedNode node, int life, long untilMillis) {
    node.run(
        life,
        () ->
            node.core()
                .confirm(
                    plan,
                    time.millis(),
                    outcome -> {
                      if (outcome instanceof ConfigurationManager.Confirmation.Accepted accepted) {
                        onAccepted(accepted.version(), plan, drained);
                        return;
                      }
                      // Without an answer of the store the plan may have been accepted all the
                      // same, and nothing is known to be drained any more.
                      if (outcome instanceof ConfigurationManager.Confirmation.Refused refused
                          && refused.kind() == ErrorKind.STORE_UNAVAILABLE) {
                        notServingSince.clear();
                      }
                      if (time.millis() < untilMillis && plan.baseVersion() == 0) {
                        time.afterMillis(
                            1_000, () -> confirm(plan, drained, node, life, untilMillis));
                      }
                    }));
  }

  private void onAccepted(long version, ConfigurationPlan plan, int drained) {
    observer.accepted(version, plan.digest());
    if (version == observer.acceptedVersion()) {
      notServingSince.clear();
      if (drained > 0) {
        notServingSince.put("engine-" + (drained - 1), time.millis());
      }
      time.afterMillis(IN_FORCE_MILLIS, () -> checkInForce(version));
    }
  }

  /** Only nodes that run and can be reached must have it; there is no promise for the others. */
  private void checkInForce(long version) {
    boolean quiet = splits == 0 && badNetwork == 0 && cutNodes.isEmpty();
    for (SimulatedNode node : nodes) {
      boolean reachable = node.isAlive() && !node.isFrozen() && node.core().isReady();
      if (quiet && reachable && node.core().configuration().image().version() < version) {
        observer.violation(
            Promise.CONFIGURATION,
            "version " + version + " is not in force on node " + node.index() + " after 14 s");
      }
    }
  }

  // ---- faults ----

  private void plan(Fault fault) {
    time.afterMillis(fault.atMillis(), () -> begin(fault));
  }

  private void begin(Fault fault) {
    if (keepLog) {
      log.add(time.millis() + " FAULT " + fault);
    }
    SimulatedNode node = nodes.get(fault.target() % nodeCount);
    SimulatedEngine engine = engines.get("engine-" + fault.target() % engineCount);
    switch (fault.kind()) {
      case KILL_NODE -> killNode(node, fault);
      case FREEZE_NODE -> freezeNode(node, fault);
      case CUT_NODE -> {
        cutNodes.merge(node.index(), 1, Integer::sum);
        end(fault, () -> cutNodes.computeIfPresent(node.index(), (k, n) -> n > 1 ? n - 1 : null));
      }
      case SPLIT -> {
        splits++;
        end(fault, () -> splits--);
      }
      case BAD_NETWORK -> {
        badNetwork++;
        end(fault, () -> badNetwork--);
      }
      case STORE_DOWN -> {
        platform.down(true);
        end(fault, () -> platform.down(false));
      }
      case STORE_LOSES_ANSWERS -> {
        platform.losesAnswers(true);
        end(fault, () -> platform.losesAnswers(false));
      }
      case STORE_SLOW -> {
        platform.slow(true);
        end(fault, () -> platform.slow(false));
      }
      case KILL_ENGINE -> {
        engine.kill();
        end(fault, engine::restart);
      }
      case BREAK_CONNECTIONS -> breakConnections(fault);
      case ENGINE_LEAVES -> {
        engine.model().leave();
        end(fault, () -> engine.model().serve());
      }
      case OPERATOR_RACE -> race(fault);
      case PLANNED_STOP -> plannedStop(node, fault);
      default -> throw new IllegalStateException("unknown fault " + fault.kind());
    }
  }

  private void end(Fault fault, Runnable action) {
    time.afterMillis(fault.durationMillis(), action);
  }

  /**
   * At most two of five nodes are gone at a time: that is what the replicas are made for. A node
   * that has started again counts as gone until its new incarnation is in all groups.
   */
  private boolean mayLose(SimulatedNode node) {
    long others = nodes.stream().filter(item -> item != node && !isWhole(item)).count();
    return node.isAlive() && !node.isFrozen() && others < (nodeCount - 1) / 2;
  }

  private boolean isWhole(SimulatedNode node) {
    if (!node.isAlive() || node.isFrozen()) {
      return false;
    }
    for (int shard = 0; shard < SHARDS; shard++) {
      if (!isMember(node, shard)) {
        return false;
      }
    }
    return true;
  }

  private boolean isMember(SimulatedNode node, int shard) {
    for (SimulatedNode other : nodes) {
      var group = other.isAlive() ? other.core().group(shard) : null;
      if (group != null && group.isReadyLeader()) {
        return group.members().contains(node.core().self());
      }
    }
    return false;
  }

  private void killNode(SimulatedNode node, Fault fault) {
    if (mayLose(node)) {
      node.kill();
      end(fault, node::start);
    }
  }

  private void freezeNode(SimulatedNode node, Fault fault) {
    if (mayLose(node)) {
      node.freeze();
      int life = node.life();
      end(
          fault,
          () -> {
            if (node.life() == life && node.isAlive()) {
              node.thaw();
            }
          });
    }
  }

  private void breakConnections(Fault fault) {
    tool.breaking(true);
    engines.values().forEach(SimulatedEngine::breakConnections);
    end(
        fault,
        () -> {
          tool.breaking(false);
          engines.values().forEach(SimulatedEngine::breakConnections);
        });
  }

  private void race(Fault fault) {
    int drained = fault.target() % engineCount + 1;
    SimulatedNode first = nodes.get(fault.target() % nodeCount);
    SimulatedNode second = nodes.get((fault.target() + 1) % nodeCount);
    declare(drained, "first-" + fault.atMillis(), first, 0);
    declare(0, "second-" + fault.atMillis(), second, 0);
  }

  private void plannedStop(SimulatedNode node, Fault fault) {
    if (mayLose(node) && !node.isStopping()) {
      node.beginStop();
      int life = node.life();
      end(fault, () -> restartStopped(node, life));
    }
  }

  private void restartStopped(SimulatedNode node, int life) {
    if (node.life() == life && !node.isAlive()) {
      node.start();
    } else if (node.life() == life) {
      time.afterMillis(500, () -> restartStopped(node, life));
    }
  }
}
