package org.baykeel.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.quarantine.EngineLiveness;
import org.baykeel.gateway.quarantine.EngineLivenessCheck;
import org.baykeel.gateway.telemetry.GatewayMetrics;

/**
 * Checks whether an engine runs by the connections that are open to it. Without one, opens a
 * connection: a process that has ended refuses it.
 */
public final class ConnectingLivenessCheck implements EngineLivenessCheck {
  private static final int CONNECT_TIMEOUT_MILLIS = 150;

  /** Connections of a process that ends are closed one after the other within this time. */
  private static final long SETTLE_MILLIS = 5;

  private static final int MAX_CONNECTS = 3;

  private final EventLoopGroup group;
  private final NettyEngineTransport transport;
  private final GatewayMetrics metrics;

  /**
   * Creates a check.
   *
   * @param transport has the connections to engines
   * @param metrics counts the connections that are opened
   */
  public ConnectingLivenessCheck(
      EventLoopGroup group, NettyEngineTransport transport, GatewayMetrics metrics) {
    this.group = group;
    this.transport = transport;
    this.metrics = metrics;
  }

  @Override
  public void check(Engine engine, Consumer<EngineLiveness> answer) {
    // Other connections whose end was read at the same time are closed first.
    group.next().execute(() -> checkConnections(engine, answer));
  }

  private void checkConnections(Engine engine, Consumer<EngineLiveness> answer) {
    if (transport.isConnected(engine)) {
      schedule(() -> checkConnectionsAgain(engine, answer));
    } else {
      connect(engine, 1, answer);
    }
  }

  private void checkConnectionsAgain(Engine engine, Consumer<EngineLiveness> answer) {
    if (transport.isConnected(engine)) {
      answer.accept(EngineLiveness.CONNECTED);
    } else {
      connect(engine, 1, answer);
    }
  }

  private void connect(Engine engine, int connects, Consumer<EngineLiveness> answer) {
    metrics.engineConnectionOpened();
    KeepAliveBootstrap.bootstrap(group, CONNECT_TIMEOUT_MILLIS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(engine.record().host(), engine.record().port())
        .addListener(
            (io.netty.channel.ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                schedule(() -> checkAccepted(connected.channel(), engine, connects, answer));
              } else {
                answer.accept(livenessOf(connected.cause()));
              }
            });
  }

  private static EngineLiveness livenessOf(Throwable connectFailure) {
    boolean refused =
        connectFailure instanceof ConnectException
            && !(connectFailure instanceof ConnectTimeoutException);
    return refused ? EngineLiveness.ENDED : EngineLiveness.UNKNOWN;
  }

  /** A process that is just ending may still accept a connection and then close it. */
  private void checkAccepted(
      Channel channel, Engine engine, int connects, Consumer<EngineLiveness> answer) {
    boolean open = channel.isActive();
    channel.close();
    if (open) {
      answer.accept(EngineLiveness.RUNNING);
    } else if (connects < MAX_CONNECTS) {
      connect(engine, connects + 1, answer);
    } else {
      answer.accept(EngineLiveness.UNKNOWN);
    }
  }

  private void schedule(Runnable task) {
    group.next().schedule(task, SETTLE_MILLIS, TimeUnit.MILLISECONDS);
  }
}
