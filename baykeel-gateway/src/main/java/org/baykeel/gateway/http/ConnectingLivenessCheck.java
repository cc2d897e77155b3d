package org.baykeel.gateway.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.quarantine.EngineLiveness;
import org.baykeel.gateway.quarantine.EngineLivenessCheck;
import org.baykeel.gateway.telemetry.GatewayMetrics;

/**
 * Checks whether an engine runs by the connections that are open to it. Without one, opens a
 * connection: a process that has ended refuses it, and one that was started in its place at the
 * same address says that it is another.
 */
public final class ConnectingLivenessCheck implements EngineLivenessCheck {
  private static final int CONNECT_TIMEOUT_MILLIS = 150;

  /** Connections of a process that ends are closed one after the other within this time. */
  private static final long SETTLE_MILLIS = 5;

  /** An engine is expected to respond within this time. */
  private static final long RESPONSE_MILLIS = 50;

  /** A process that is just ending may accept connections for a moment and then close them. */
  private static final int MAX_CONNECTS = 4;

  /** The pause before the second connection; each further one is as much longer. */
  private static final long RECONNECT_MILLIS = 10;

  private final EventLoopGroup group;
  private final NettyEngineTransport transport;
  private final CallTranslator translator;
  private final GatewayMetrics metrics;

  /**
   * Creates a check.
   *
   * @param transport has the connections to engines
   * @param translator encodes the question which engine responds
   * @param metrics counts the connections that are opened
   */
  public ConnectingLivenessCheck(
      EventLoopGroup group,
      NettyEngineTransport transport,
      CallTranslator translator,
      GatewayMetrics metrics) {
    this.group = group;
    this.transport = transport;
    this.translator = translator;
    this.metrics = metrics;
  }

  @Override
  public void check(Engine engine, Consumer<EngineLiveness> answer) {
    // Other connections whose end was read at the same time are closed first.
    group.next().execute(() -> checkConnections(engine, answer));
  }

  private void checkConnections(Engine engine, Consumer<EngineLiveness> answer) {
    if (transport.isConnected(engine)) {
      schedule(SETTLE_MILLIS, () -> checkConnectionsAgain(engine, answer));
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
    Connection connection = new Connection(engine, connects, answer);
    KeepAliveBootstrap.bootstrap(group, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new HttpClientCodec()).addLast(connection);
              }
            })
        .connect(engine.record().host(), engine.record().port())
        .addListener((ChannelFuture connected) -> connection.onConnected(connected));
  }

  private void schedule(long millis, Runnable task) {
    group.next().schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  /** One connection that asks which engine responds. */
  private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
    private final Engine engine;
    private final int connects;
    private final Consumer<EngineLiveness> answer;
    private boolean concluded;

    Connection(Engine engine, int connects, Consumer<EngineLiveness> answer) {
      this.engine = engine;
      this.connects = connects;
      this.answer = answer;
    }

    void onConnected(ChannelFuture connected) {
      if (!connected.isSuccess()) {
        conclude(livenessOf(connected.cause()));
        return;
      }
      connected.channel().writeAndFlush(translator.identityRequest(engine));
      schedule(
          RESPONSE_MILLIS,
          () -> {
            conclude(EngineLiveness.ACCEPTING);
            connected.channel().close();
          });
    }

    private EngineLiveness livenessOf(Throwable connectFailure) {
      boolean refused =
          connectFailure instanceof ConnectException
              && !(connectFailure instanceof ConnectTimeoutException);
      return refused ? EngineLiveness.ENDED : EngineLiveness.UNKNOWN;
    }

    private void conclude(EngineLiveness liveness) {
      if (!concluded) {
        concluded = true;
        answer.accept(liveness);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject object) {
      if (object instanceof HttpResponse response) {
        boolean usable = response.decoderResult().isSuccess();
        boolean other = usable && translator.isFromOtherEngine(response, engine);
        conclude(other ? EngineLiveness.ENDED : EngineLiveness.RUNNING);
        context.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (concluded) {
        return;
      }
      if (connects < MAX_CONNECTS) {
        concluded = true;
        schedule(RECONNECT_MILLIS * connects, () -> connect(engine, connects + 1, answer));
      } else {
        conclude(EngineLiveness.CLOSING);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
