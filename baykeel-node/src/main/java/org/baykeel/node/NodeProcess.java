package org.baykeel.node;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.message.Usage;
import org.baykeel.core.node.NodeCore;
import org.baykeel.core.node.NodeOutput;
import org.baykeel.core.platform.TableResult;
import org.baykeel.node.agent.MonotonicClock;
import org.baykeel.node.agent.NodeAgent;
import org.baykeel.node.backend.BackendClient;
import org.baykeel.node.backend.BackendEvents;
import org.baykeel.node.http.HttpFrontend;
import org.baykeel.node.http.NodeAccess;
import org.baykeel.node.http.PendingReplies;
import org.baykeel.node.platform.PlatformClient;
import org.baykeel.node.settings.ProcessSettings;
import org.baykeel.node.telemetry.EventLog;
import org.baykeel.node.telemetry.NodeMetrics;
import org.baykeel.node.transport.HttpClient;
import org.baykeel.node.transport.PeerTransport;

/** A running node: the core with its network around it. */
public final class NodeProcess {
  private static final int NETWORK_THREADS = 2;
  private static final int STOP_POLL_MILLIS = 50;
  private static final int STOP_LIMIT_MILLIS = 120_000;
  private static final int LEAVE_SPREAD_MILLIS = 1_000;
  private static final int GAUGES_MILLIS = 100;
  private static final double NANOS_PER_SECOND = 1e9;

  private final ProcessSettings settings;
  private final MonotonicClock clock = new MonotonicClock();
  private final NodeMetrics metrics = new NodeMetrics();
  private final EventLog log;
  private final EventLoopGroup network =
      new MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory());
  private final PendingReplies replies = new PendingReplies();
  private final Map<Long, Long> startedNanos = new ConcurrentHashMap<>();
  private final NodeAgent agent;
  private final PeerTransport transport;
  private final BackendClient backends;
  private final PlatformClient platform;
  private final HttpFrontend frontend;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile ConfigurationImage configuration = ConfigurationImage.NONE;
  private volatile boolean ready;
  private volatile boolean stopping;
  private NodeCore core;
  private long lastGaugesMillis;
  private NodeAddress address;

  public NodeProcess(ProcessSettings settings) {
    this.settings = requireNonNull(settings, "settings");
    this.log = new EventLog(Integer.toString(settings.nodeId()), settings.log());
    this.agent = new NodeAgent(clock, log, this::publish);
    HttpClient client = new HttpClient(network);
    this.transport = new PeerTransport(network, new TransportReceiver());
    this.backends = new BackendClient(client, new BackendReceiver(), clock::millis);
    this.platform =
        new PlatformClient(
            client,
            settings.platform(),
            work -> agent.execute(node -> work.run()),
            service -> event(LogEvent.STORE_UNAVAILABLE, service, "no answer in time"));
    this.frontend =
        new HttpFrontend(
            network, settings.limits(), new Access(), replies, settings.operatorKeySha256());
  }

  /** Starts listening and running. */
  public void start() {
    MemberId self = new MemberId(settings.nodeId(), clock.millis());
    NodeAddress wanted = settings.address();
    int peerPort = transport.listen(self, wanted.host(), wanted.peerPort());
    int httpPort = frontend.listen(wanted.host(), wanted.httpPort());
    address = new NodeAddress(wanted.host(), peerPort, httpPort, wanted.zone(), wanted.region());
    long seed = new SecureRandom().nextLong();
    core = new NodeCore(self, address, settings.core(), new Output(), seed, clock.millis());
    event(
        LogEvent.NODE_STARTED,
        self,
        address.host() + ":" + peerPort,
        address.host() + ":" + httpPort);
    agent.start(core);
  }

  /** Where the node listens, with the ports that the system has chosen. */
  public NodeAddress address() {
    return address;
  }

  /** Waits until a planned stop has ended. */
  public void awaitStop() throws InterruptedException {
    stopped.await();
  }

  /** Begins a planned stop: hands over the shards, finishes the streams, then ends. */
  public void beginStop() {
    if (stopping) {
      return;
    }
    stopping = true;
    Thread thread = new Thread(this::stopWhenDrained, "baykeel-stop");
    thread.start();
  }

  private void stopWhenDrained() {
    long begun = clock.millis();
    agent.execute(node -> node.beginStop(clock.millis()));
    try {
      Thread.sleep(LEAVE_SPREAD_MILLIS);
      while (clock.millis() - begun < STOP_LIMIT_MILLIS && !isDrained()) {
        Thread.sleep(STOP_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    event(LogEvent.NODE_STOPPED, clock.millis() - begun);
    close();
    stopped.countDown();
  }

  private boolean isDrained() throws InterruptedException {
    CountDownLatch answered = new CountDownLatch(1);
    boolean[] drained = new boolean[1];
    agent.execute(
        node -> {
          drained[0] = node.isDrained();
          answered.countDown();
        });
    answered.await();
    return drained[0];
  }

  /** Ends at once. */
  public void close() {
    frontend.close();
    transport.close();
    agent.close();
    network.shutdownGracefully();
  }

  /** Publishes what other threads may read. */
  private void publish() {
    configuration = core.configuration().image();
    long now = clock.millis();
    if (now - lastGaugesMillis < GAUGES_MILLIS) {
      return;
    }
    lastGaugesMillis = now;
    ready = core.isReady();
    metrics.update(
        core.ledShards(),
        core.edge().pendingRequests(),
        core.scheduler().waitingCalls(),
        configuration.version(),
        transport.sentBytes(),
        transport.sentMessages());
  }

  private void event(LogEvent event, Object... arguments) {
    metrics.event(event);
    log.write(event, arguments);
  }

  /** What the core does to the outside. */
  private final class Output implements NodeOutput {
    @Override
    public void sendToPeer(MemberId to, NodeAddress peer, PeerMessage message) {
      transport.send(peer.host(), peer.peerPort(), to, message);
    }

    @Override
    public void sendToAddress(String host, int port, PeerMessage message) {
      transport.send(host, port, MemberId.NONE, message);
    }

    @Override
    public void deliver(long requestId, CallerReply reply) {
      note(requestId, reply);
      replies.deliver(requestId, reply);
    }

    private void note(long requestId, CallerReply reply) {
      if (reply instanceof CallerReply.Failed failure) {
        startedNanos.remove(requestId);
        metrics.requestFailed(failure.kind());
      } else if (reply instanceof CallerReply.Completed) {
        Long started = startedNanos.remove(requestId);
        double nanos = started == null ? 0 : System.nanoTime() - started;
        metrics.requestCompleted(nanos / NANOS_PER_SECOND);
      }
    }

    @Override
    public void startAttempt(BackendAttempt attempt) {
      backends.start(attempt);
    }

    @Override
    public void cancelAttempt(AttemptId id, String backend, String backendAddress) {
      backends.cancel(id, backendAddress);
    }

    @Override
    public void abandonAttempt(AttemptId id) {
      backends.abandon(id);
    }

    @Override
    public void releaseCache(String engine, String engineAddress, String programId) {
      backends.releaseCache(engine, engineAddress, programId);
    }

    @Override
    public void pollEngine(String engine, String engineAddress) {
      backends.pollEngine(engine, engineAddress);
    }

    @Override
    public void pollInventory(String engine, String engineAddress) {
      backends.pollInventory(engine, engineAddress);
    }

    @Override
    public void event(LogEvent event, Object... arguments) {
      NodeProcess.this.event(event, arguments);
    }

    @Override
    public void readRow(String key, Consumer<TableResult> callback) {
      platform.readRow(key, callback);
    }

    @Override
    public void writeRow(
        String key, long expectedVersion, Payload value, Consumer<TableResult> callback) {
      platform.writeRow(key, expectedVersion, value, callback);
    }
  }

  private final class TransportReceiver implements PeerTransport.Receiver {
    @Override
    public void onMessage(MemberId from, PeerMessage message) {
      agent.execute(node -> node.onPeerMessage(from, message, clock.millis()));
    }

    @Override
    public void onDropped(MemberId from, String reason) {
      event(LogEvent.PEER_FRAME_DROPPED, from, reason);
    }
  }

  private final class BackendReceiver implements BackendEvents {
    @Override
    public void onText(AttemptId id, int offset, Payload text) {
      agent.execute(node -> node.onAttemptText(id, offset, text, clock.millis()));
    }

    @Override
    public void onCompleted(AttemptId id, Payload answer, Usage usage) {
      backends.forget(id);
      agent.execute(node -> node.onAttemptCompleted(id, answer, usage, clock.millis()));
    }

    @Override
    public void onFailed(AttemptId id, AttemptFailure failure) {
      backends.forget(id);
      agent.execute(node -> node.onAttemptFailed(id, failure, clock.millis()));
    }

    @Override
    public void onCacheReleased(String engine, String programId) {
      agent.execute(node -> node.onCacheReleased(engine, programId, clock.millis()));
    }

    @Override
    public void onReport(EngineReport report) {
      agent.execute(node -> node.onEngineReport(report, clock.millis()));
    }

    @Override
    public void onInventory(String engine, Collection<String> programIds) {
      List<String> ids = new ArrayList<>(programIds);
      agent.execute(node -> node.onInventory(engine, ids, clock.millis()));
    }
  }

  private final class Access implements NodeAccess {
    @Override
    public void execute(Consumer<NodeCore> work) {
      agent.execute(work);
    }

    @Override
    public void requestStarted(long requestId) {
      startedNanos.put(requestId, System.nanoTime());
    }

    @Override
    public void requestCancelled(long requestId) {
      startedNanos.remove(requestId);
    }

    @Override
    public long nowMillis() {
      return clock.millis();
    }

    @Override
    public ConfigurationImage configuration() {
      return configuration;
    }

    @Override
    public int shardCount() {
      return settings.core().bootstrap().shardCount();
    }

    @Override
    public boolean isReady() {
      return ready && !stopping;
    }

    @Override
    public void beginStop() {
      NodeProcess.this.beginStop();
    }

    @Override
    public byte[] metrics() {
      return metrics.text();
    }
  }
}
