package org.baykeel.gateway.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.handover.HandoverTransport;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.http.KeepAliveBootstrap;
import org.baykeel.gateway.http.NettyTimeLimits;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.remote.RelayTransport;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.LoggedTask;

/** Sends requests to peers over one connection per peer, which is closed when idle. */
public final class LinkClient implements RelayTransport, HandoverTransport {
  private static final int CONNECT_TIMEOUT_MILLIS = 200;

  /**
   * Time limit for the work of a slow peer; after it the state is read from the store. Two measured
   * round trips are added: one to connect and one for the request.
   */
  private static final long HANDOVER_WORK_MILLIS = 50;

  private static final int HANDOVER_ROUND_TRIPS = 2;

  private static final long IDLE_NANOS = 10_000_000_000L;
  private static final long SWEEP_MILLIS = 2_000;

  /** Delay before a silent connection is closed; longer than the longest relayed store call. */
  private static final long ABANDONED_CLOSE_DELAY_MILLIS = 4_000;

  private final EventLoopGroup group;
  private final PeerLatency latency;
  private final GatewayLog log;
  private final Map<PeerAddress, PeerLink> links = new HashMap<>();

  /**
   * Creates a client without connections.
   *
   * @param group the event loop
   * @param latency the round trips to peers
   */
  public LinkClient(EventLoopGroup group, PeerLatency latency, GatewayLog log) {
    this.group = group;
    this.latency = latency;
    this.log = log;
    group
        .next()
        .scheduleWithFixedDelay(
            new LoggedTask("sweep of connections", this::sweep, log),
            SWEEP_MILLIS,
            SWEEP_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  @Override
  public void call(PeerAddress peer, StoreCall call, Consumer<StoreReply> callback) {
    linkTo(peer)
        .sendRequest(
            id -> new LinkMessage.StoreRequest(id, call),
            call.timeoutMillis(),
            outcome -> callback.accept(outcome.storeReply()));
  }

  @Override
  public void requestGrant(
      PeerAddress peer, ProgramId program, Consumer<Optional<GrantTransfer>> callback) {
    linkTo(peer)
        .sendRequest(
            id -> new LinkMessage.GrantRequest(id, program),
            handoverMillis(peer),
            outcome -> callback.accept(outcome.transfer()));
  }

  @Override
  public void requestTurns(PeerAddress peer, String turnId, Consumer<List<StoredTurn>> callback) {
    linkTo(peer)
        .sendRequest(
            id -> new LinkMessage.TurnsRequest(id, turnId),
            handoverMillis(peer),
            outcome -> callback.accept(outcome.turns()));
  }

  private long handoverMillis(PeerAddress peer) {
    return HANDOVER_WORK_MILLIS + HANDOVER_ROUND_TRIPS * latency.roundTripMillis(peer);
  }

  private PeerLink linkTo(PeerAddress peer) {
    return links.computeIfAbsent(peer, PeerLink::new);
  }

  private void sweep() {
    links.values().removeIf(PeerLink::closeIfIdle);
  }

  /**
   * The outcome of a request.
   *
   * @param response the response, or null if there was none
   * @param sent whether the request may have reached the peer
   * @param reason why there is no response
   */
  private record Outcome(LinkMessage response, boolean sent, String reason) {

    StoreReply storeReply() {
      if (response instanceof LinkMessage.StoreResponse storeResponse) {
        return storeResponse.reply();
      }
      return sent ? new StoreReply.Lost(reason) : new StoreReply.NotSent(reason);
    }

    Optional<GrantTransfer> transfer() {
      return response instanceof LinkMessage.GrantResponse grantResponse
          ? grantResponse.transfer()
          : Optional.empty();
    }

    List<StoredTurn> turns() {
      return response instanceof LinkMessage.TurnsResponse turnsResponse
          ? turnsResponse.turns()
          : List.of();
    }
  }

  /** A request that has no response yet. */
  private record PendingRequest(Consumer<Outcome> onOutcome, EventLoop.Timer timeout) {}

  /** The connection to one peer, opened by the first request. */
  private final class PeerLink {
    private final PeerAddress peer;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private long lastCorrelationId;
    private long lastRequestNanos = System.nanoTime();
    private long lastReceivedNanos = System.nanoTime();
    private Channel channel;

    PeerLink(PeerAddress peer) {
      this.peer = peer;
    }

    void sendRequest(
        LongFunction<LinkMessage> request, long timeoutMillis, Consumer<Outcome> onOutcome) {
      lastRequestNanos = System.nanoTime();
      long id = ++lastCorrelationId;
      EventLoop.Timer timeout =
          NettyTimeLimits.start(group.next(), timeoutMillis, () -> onTimeout(id, timeoutMillis));
      pending.put(id, new PendingRequest(onOutcome, timeout));
      if (channel != null) {
        channel.writeAndFlush(LinkChannel.encodeFrame(request.apply(id)));
      } else {
        connect().addListener(connected -> onConnected(id, request));
      }
    }

    private void onConnected(long id, LongFunction<LinkMessage> request) {
      if (channel == null) {
        complete(id, new Outcome(null, false, "no connection to " + peer));
      } else if (pending.containsKey(id)) {
        channel.writeAndFlush(LinkChannel.encodeFrame(request.apply(id)));
      }
    }

    private ChannelFuture connect() {
      ChannelFuture connecting =
          KeepAliveBootstrap.bootstrap(group, CONNECT_TIMEOUT_MILLIS)
              .handler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel opened) {
                      LinkChannel.prepare(
                          opened.pipeline(), PeerLink.this::onMessage, () -> onClosed(opened));
                    }
                  })
              .connect(peer.host(), peer.port());
      connecting.addListener(connected -> adopt(connecting));
      return connecting;
    }

    /** Keeps the first of several connections that were opened concurrently. */
    private void adopt(ChannelFuture connected) {
      if (!connected.isSuccess()) {
        return;
      }
      if (channel == null) {
        channel = connected.channel();
        lastReceivedNanos = System.nanoTime();
      } else {
        connected.channel().close();
      }
    }

    private void onMessage(LinkMessage message) {
      lastReceivedNanos = System.nanoTime();
      complete(message.correlationId(), new Outcome(message, true, ""));
    }

    private void onTimeout(long id, long timeoutMillis) {
      long silentMillis = (System.nanoTime() - lastReceivedNanos) / 1_000_000;
      if (channel != null && silentMillis >= timeoutMillis) {
        abandon(silentMillis);
      }
      complete(id, new Outcome(null, true, "no response within the time limit from " + peer));
    }

    /**
     * Stops using the connection after nothing was received during the whole time limit of a
     * request: it may be dead without having been closed, so the next request opens a new one.
     * Pending requests may still complete on the old connection.
     */
    private void abandon(long silentMillis) {
      log.write(
          GatewayEvent.CONNECTION_SILENT,
          "kind",
          "node",
          "address",
          peer,
          "ms",
          silentMillis,
          "under_way",
          pending.size());
      Channel silent = channel;
      channel = null;
      group
          .next()
          .schedule(() -> silent.close(), ABANDONED_CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void complete(long id, Outcome outcome) {
      PendingRequest ended = pending.remove(id);
      if (ended != null) {
        ended.timeout().cancel();
        ended.onOutcome().accept(outcome);
      }
    }

    private void onClosed(Channel closed) {
      if (closed != channel) {
        return;
      }
      channel = null;
      for (Long id : new ArrayList<>(pending.keySet())) {
        complete(id, new Outcome(null, true, "connection to " + peer + " closed"));
      }
    }

    /** Closes the connection if it is idle; returns whether the link can be removed. */
    boolean closeIfIdle() {
      if (!pending.isEmpty() || System.nanoTime() - lastRequestNanos < IDLE_NANOS) {
        return false;
      }
      if (channel != null) {
        channel.close();
      }
      return true;
    }
  }
}
