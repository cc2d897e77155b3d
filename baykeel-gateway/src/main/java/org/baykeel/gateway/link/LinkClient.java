package org.baykeel.gateway.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
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
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.remote.RelayTransport;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/** Asks other nodes, over one connection to each that was asked lately. */
public final class LinkClient implements RelayTransport, HandoverTransport {
  private static final int CONNECT_TIMEOUT_MILLIS = 200;

  /**
   * A little work at a slow node; after it the store is asked. Two ways there and back, as
   * measured, come on top: one to connect and one to ask.
   */
  private static final long HANDOVER_MILLIS = 50;

  private static final int HANDOVER_ROUND_TRIPS = 2;

  private static final long IDLE_NANOS = 10_000_000_000L;
  private static final long SWEEP_MILLIS = 2_000;

  /** How long a silent connection is left open; longer than any call made through another node. */
  private static final long ABANDONED_MILLIS = 4_000;

  private final EventLoopGroup group;
  private final PeerLatency distance;
  private final GatewayLog log;
  private final Map<PeerAddress, Link> links = new HashMap<>();

  /**
   * Creates a client without connections.
   *
   * @param group the event loop
   * @param distance how far other nodes are
   */
  public LinkClient(EventLoopGroup group, PeerLatency distance, GatewayLog log) {
    this.group = group;
    this.distance = distance;
    this.log = log;
    group
        .next()
        .scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void call(PeerAddress peer, StoreCall call, Consumer<StoreReply> answer) {
    link(peer)
        .ask(
            id -> new LinkMessage.StoreRequest(id, call),
            call.timeoutMillis(),
            outcome -> answer.accept(outcome.storeReply()));
  }

  @Override
  public void requestGrant(
      PeerAddress peer, ProgramId program, Consumer<Optional<GrantTransfer>> answer) {
    link(peer)
        .ask(
            id -> new LinkMessage.GrantRequest(id, program),
            handoverMillis(peer),
            outcome -> answer.accept(outcome.transfer()));
  }

  @Override
  public void requestTurns(PeerAddress peer, String turnId, Consumer<List<StoredTurn>> answer) {
    link(peer)
        .ask(
            id -> new LinkMessage.TurnsRequest(id, turnId),
            handoverMillis(peer),
            outcome -> answer.accept(outcome.turns()));
  }

  private long handoverMillis(PeerAddress peer) {
    return HANDOVER_MILLIS + HANDOVER_ROUND_TRIPS * distance.roundTripMillis(peer);
  }

  private Link link(PeerAddress peer) {
    return links.computeIfAbsent(peer, Link::new);
  }

  private void sweep() {
    links.values().removeIf(Link::closedAfterRest);
  }

  /**
   * What became of a request.
   *
   * @param answer the answer, or null if there was none
   * @param sent whether the request may have reached the other node
   * @param reason why there is no answer
   */
  private record Outcome(LinkMessage answer, boolean sent, String reason) {

    StoreReply storeReply() {
      if (answer instanceof LinkMessage.StoreAnswer storeAnswer) {
        return storeAnswer.reply();
      }
      return sent ? new StoreReply.Lost(reason) : new StoreReply.NotSent(reason);
    }

    Optional<GrantTransfer> transfer() {
      return answer instanceof LinkMessage.GrantAnswer grantAnswer
          ? grantAnswer.transfer()
          : Optional.empty();
    }

    List<StoredTurn> turns() {
      return answer instanceof LinkMessage.TurnsAnswer turnsAnswer
          ? turnsAnswer.turns()
          : List.of();
    }
  }

  /** A request that waits for its answer. */
  private record Waiting(Consumer<Outcome> onOutcome, Future<?> timeout) {}

  /** The connection to one node, made when it is first needed. */
  private final class Link {
    private final PeerAddress peer;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private long lastCorrelationId;
    private long usedNanos = System.nanoTime();
    private long heardNanos = System.nanoTime();
    private Channel channel;

    Link(PeerAddress peer) {
      this.peer = peer;
    }

    void ask(LongFunction<LinkMessage> request, long timeoutMillis, Consumer<Outcome> onOutcome) {
      usedNanos = System.nanoTime();
      long id = ++lastCorrelationId;
      Future<?> timeout =
          group
              .next()
              .schedule(() -> onTimeout(id, timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
      waiting.put(id, new Waiting(onOutcome, timeout));
      if (channel != null) {
        channel.writeAndFlush(LinkChannel.frame(request.apply(id)));
      } else {
        connect().addListener(connected -> onConnected(id, request));
      }
    }

    private void onConnected(long id, LongFunction<LinkMessage> request) {
      if (channel == null) {
        end(id, new Outcome(null, false, "no connection to " + peer));
      } else if (waiting.containsKey(id)) {
        channel.writeAndFlush(LinkChannel.frame(request.apply(id)));
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
                          opened.pipeline(), Link.this::onMessage, () -> onClosed(opened));
                    }
                  })
              .connect(peer.host(), peer.port());
      connecting.addListener(connected -> adopt(connecting));
      return connecting;
    }

    /** Of two connections made at the same time the first one stays. */
    private void adopt(ChannelFuture connected) {
      if (!connected.isSuccess()) {
        return;
      }
      if (channel == null) {
        channel = connected.channel();
        heardNanos = System.nanoTime();
      } else {
        connected.channel().close();
      }
    }

    private void onMessage(LinkMessage message) {
      heardNanos = System.nanoTime();
      end(message.correlationId(), new Outcome(message, true, ""));
    }

    private void onTimeout(long id, long timeoutMillis) {
      long silentMillis = (System.nanoTime() - heardNanos) / 1_000_000;
      if (channel != null && silentMillis >= timeoutMillis) {
        abandon(silentMillis);
      }
      end(id, new Outcome(null, true, "time-out at " + peer));
    }

    /**
     * Nothing was heard for the whole time of a request: the connection may have fallen silent for
     * good, so the next request gets a new one. Others that wait may still be answered on it.
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
          waiting.size());
      Channel silent = channel;
      channel = null;
      group.next().schedule(() -> silent.close(), ABANDONED_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void end(long id, Outcome outcome) {
      Waiting ended = waiting.remove(id);
      if (ended != null) {
        ended.timeout().cancel(false);
        ended.onOutcome().accept(outcome);
      }
    }

    private void onClosed(Channel closed) {
      if (closed != channel) {
        return;
      }
      channel = null;
      for (Long id : new ArrayList<>(waiting.keySet())) {
        end(id, new Outcome(null, true, "connection to " + peer + " closed"));
      }
    }

    /** Closes the connection if it rests; returns whether it is gone. */
    boolean closedAfterRest() {
      if (!waiting.isEmpty() || System.nanoTime() - usedNanos < IDLE_NANOS) {
        return false;
      }
      if (channel != null) {
        channel.close();
      }
      return true;
    }
  }
}
