package org.baykeel.gateway.peer;

import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineSuspicionListener;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Notifies the peers in this node's region when an engine becomes suspect here, and applies the
 * notices of other nodes, so that not every node has to lose requests at a failed engine.
 *
 * <p>A notice of another node has effect for a short time and only on requests that may run at most
 * once. So a notice does no further harm if only its sender cannot reach the engine. Notices are
 * not forwarded.
 */
public final class EngineSuspicionNotifier implements EngineSuspicionListener, PeerMessageListener {
  private static final long BYTES_PER_SECOND = 8_192;
  private static final long BURST_BYTES = 40_960;

  private final EngineDirectory engines;
  private final PeerDirectory peers;
  private final PeerTransport transport;
  private final PeerMessageCodec codec;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final ByteBudget budget;

  /** Creates a notifier; the caller registers it for engine suspicions and for peer messages. */
  public EngineSuspicionNotifier(
      EngineDirectory engines,
      PeerDirectory peers,
      PeerTransport transport,
      PeerMessageCodec codec,
      EventLoop eventLoop,
      GatewayLog log) {
    this.engines = engines;
    this.peers = peers;
    this.transport = transport;
    this.codec = codec;
    this.eventLoop = eventLoop;
    this.log = log;
    this.budget = new ByteBudget(BYTES_PER_SECOND, BURST_BYTES, eventLoop.nanoTime());
  }

  @Override
  public void engineSuspected(Engine engine) {
    EngineId id = new EngineId(engine.record().id());
    byte[] notice = codec.encode(new PeerMessage.EngineSuspicion(id));
    long bytes = ByteBudget.wireBytes(notice.length) * peers.peersInRegion().size();
    if (budget.tryConsume(bytes, eventLoop.nanoTime())) {
      peers.peersInRegion().forEach(peer -> transport.send(peer, notice));
    }
  }

  @Override
  public void onMessage(PeerAddress sender, PeerMessage message) {
    if (message instanceof PeerMessage.EngineSuspicion suspicion) {
      onPeerSuspicion(sender, suspicion.engineId());
    }
  }

  private void onPeerSuspicion(PeerAddress sender, EngineId engineId) {
    Engine engine = engines.find(engineId);
    if (engine == null) {
      return;
    }
    if (engine.suspectedByPeer(eventLoop.nanoTime())) {
      log.write(GatewayEvent.ENGINE_REPORTED, "engine", engineId.value(), "peer", sender);
    }
  }
}
