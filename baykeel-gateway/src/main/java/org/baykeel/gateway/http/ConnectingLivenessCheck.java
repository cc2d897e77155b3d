package org.baykeel.gateway.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.quarantine.EngineLiveness;
import org.baykeel.gateway.quarantine.EngineLivenessCheck;
import org.baykeel.gateway.telemetry.GatewayMetrics;

/**
 * Checks whether an engine runs over a new connection: a process that has ended refuses it, and one
 * that was started in its place at the same address says that it is another.
 */
public final class ConnectingLivenessCheck implements EngineLivenessCheck {
  private static final int CONNECT_TIMEOUT_MILLIS = 150;

  /** Connections of a process that ends are closed one after the other within this time. */
  private static final long SETTLE_MILLIS = 5;

  /** An engine that is checked is expected to respond within this time. */
  private static final long CHECK_RESPONSE_MILLIS = 50;

  /** An engine that is asked may start, or have much to do, before it responds. */
  private static final long ASK_RESPONSE_MILLIS = 1_000;

  /** A process that is just ending may accept connections for a moment and then close them. */
  private static final int MAX_CONNECTS = 4;

  /** The pause before the second connection; each further one is as much longer. */
  private static final long RECONNECT_MILLIS = 10;

  private final EventLoopGroup group;
  private final NettyEngineTransport transport;
  private final CallTranslator translator;
  private final GatewayMetrics metrics;
  private final long checkResponseMillis;

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
    this(group, transport, translator, metrics, CHECK_RESPONSE_MILLIS);
  }

  /**
   * Creates a check.
   *
   * @param checkResponseMillis the time within which an engine that is checked is expected to
   *     respond, in milliseconds
   */
  ConnectingLivenessCheck(
      EventLoopGroup group,
      NettyEngineTransport transport,
      CallTranslator translator,
      GatewayMetrics metrics,
      long checkResponseMillis) {
    this.group = group;
    this.transport = transport;
    this.translator = translator;
    this.metrics = metrics;
    this.checkResponseMillis = checkResponseMillis;
  }

  @Override
  public void check(Engine engine, Consumer<EngineLiveness> answer) {
    // Other connections whose end was read at the same time are closed first.
    group.next().execute(() -> checkConnections(engine, answer));
  }

  @Override
  public void ask(Engine engine, Consumer<EngineLiveness> answer) {
    group.next().execute(() -> connect(engine, 1, ASK_RESPONSE_MILLIS, answer));
  }

  private void checkConnections(Engine engine, Consumer<EngineLiveness> answer) {
    long delayMillis = transport.isConnected(engine) ? SETTLE_MILLIS : 0;
    schedule(delayMillis, () -> connect(engine, 1, checkResponseMillis, answer));
  }

  private void connect(
      Engine engine, int connects, long responseMillis, Consumer<EngineLiveness> answer) {
    metrics.engineConnectionOpened();
    Connection connection = new Connection(engine, connects, responseMillis, answer);
    KeepAliveBootstrap.bootstrap(group, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new ResponseFramer())
                    .addLast(new HttpClientCodec())
                    .addLast(connection);
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
    private final long responseMillis;
    private final Consumer<EngineLiveness> answer;
    private boolean concluded;

    Connection(Engine engine, int connects, long responseMillis, Consumer<EngineLiveness> answer) {
      this.engine = engine;
      this.connects = connects;
      this.responseMillis = responseMillis;
      this.answer = answer;
    }

    void onConnected(ChannelFuture connected) {
      if (!connected.isSuccess()) {
        conclude(livenessOf(connected.cause()));
        return;
      }
      connected.channel().writeAndFlush(translator.identityRequest(engine));
      NettyTimeLimits.start(
          group.next(),
          responseMillis,
          () -> {
            conclude(unlessConnected(EngineLiveness.ACCEPTING));
            connected.channel().close();
          });
    }

    private EngineLiveness livenessOf(Throwable connectFailure) {
      boolean refused =
          connectFailure instanceof ConnectException
              && !(connectFailure instanceof ConnectTimeoutException);
      return refused ? EngineLiveness.ENDED : EngineLiveness.UNKNOWN;
    }

    private EngineLiveness unlessConnected(EngineLiveness liveness) {
      return transport.isConnected(engine) ? EngineLiveness.CONNECTED : liveness;
    }

    private void conclude(EngineLiveness liveness) {
      if (!concluded) {
        concluded = true;
        answer.accept(liveness);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject object) {
      if (!(object instanceof HttpResponse response) || isInterim(response)) {
        return;
      }
      if (response.decoderResult().isSuccess()) {
        boolean other = translator.isFromOtherEngine(response, engine);
        conclude(other ? EngineLiveness.ENDED : EngineLiveness.RUNNING);
      } else if (!isCut(response)) {
        conclude(unlessConnected(EngineLiveness.ACCEPTING));
      }
      context.close();
    }

    /** An interim response does not tell which engine responds. */
    private boolean isInterim(HttpResponse response) {
      return response.decoderResult().isSuccess()
          && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /** Whether the connection was closed in the head of the response. */
    private boolean isCut(HttpResponse response) {
      return response.decoderResult().cause() instanceof PrematureChannelClosureException;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (concluded) {
        return;
      }
      if (connects < MAX_CONNECTS && !transport.isConnected(engine)) {
        concluded = true;
        schedule(
            RECONNECT_MILLIS * connects,
            () -> connect(engine, connects + 1, responseMillis, answer));
      } else {
        conclude(unlessConnected(EngineLiveness.CLOSING));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (cause instanceof MalformedMessageException) {
        conclude(unlessConnected(EngineLiveness.ACCEPTING));
      }
      context.close();
    }
  }
}
