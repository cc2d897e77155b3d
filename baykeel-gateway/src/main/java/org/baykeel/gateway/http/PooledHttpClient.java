package org.baykeel.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreClient;
import org.baykeel.gateway.remote.StoreReply;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.LoopWork;

/** An HTTP client for one address with pooled connections, one request at a time on each. */
public final class PooledHttpClient implements StoreClient {
  private static final String STORE = "store";
  private static final int CONNECT_TIMEOUT_MILLIS = 400;
  private static final int MAX_STORE_RESPONSE_BYTES = 16 << 20;
  private static final int MAX_IDLE = 8;
  private static final long MAX_IDLE_NANOS = 5_000_000_000L;

  private final EventLoopGroup group;
  private final InetSocketAddress address;
  private final String kind;
  private final int maxResponseBytes;
  private final Runnable onConnect;
  private final GatewayLog log;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  private LoopWork work = new LoopWork();

  /**
   * Creates a client of the store, with no connection yet.
   *
   * @param group the event loop
   * @param address the only address that it connects to
   */
  public PooledHttpClient(EventLoopGroup group, InetSocketAddress address, GatewayLog log) {
    this(group, address, STORE, MAX_STORE_RESPONSE_BYTES, () -> {}, log);
  }

  /**
   * Creates a client without connections.
   *
   * @param kind the kind of server, for log lines
   * @param maxResponseBytes the length beyond which a response is given up
   * @param onConnect runs for each connection that is opened
   */
  PooledHttpClient(
      EventLoopGroup group,
      InetSocketAddress address,
      String kind,
      int maxResponseBytes,
      Runnable onConnect,
      GatewayLog log) {
    this.group = group;
    this.address = address;
    this.kind = kind;
    this.maxResponseBytes = maxResponseBytes;
    this.onConnect = onConnect;
    this.log = log;
  }

  /** Sets the counters that measure the time of responses, and returns this client. */
  public PooledHttpClient measuredBy(LoopWork loopWork) {
    work = loopWork;
    return this;
  }

  private LoopWork.Kind workKind() {
    return kind.equals(STORE) ? LoopWork.Kind.STORE : LoopWork.Kind.REPORTS;
  }

  @Override
  public void call(StoreCall call, Consumer<StoreReply> callback) {
    byte[] body = call.body();
    long timeoutMillis = call.timeoutMillis();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method().name()),
            call.target(),
            body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ':' + address.getPort());
    if (body != null) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      HttpUtil.setContentLength(request, body.length);
    }
    Connection connection = takeIdle();
    if (connection != null) {
      connection.send(request, timeoutMillis, callback);
    } else {
      connect(request, timeoutMillis, callback);
    }
  }

  private Connection takeIdle() {
    long now = System.nanoTime();
    Connection candidate;
    while ((candidate = idle.pollLast()) != null) {
      if (candidate.channel.isActive() && now - candidate.idleSinceNanos < MAX_IDLE_NANOS) {
        return candidate;
      }
      candidate.channel.close();
    }
    return null;
  }

  /**
   * Closes the idle connections; requests in progress continue.
   *
   * @return the number of connections closed
   */
  int closeIdle() {
    List<Connection> closed = new ArrayList<>(idle);
    idle.clear();
    closed.forEach(connection -> connection.channel.close());
    return closed.size();
  }

  private void connect(FullHttpRequest request, long timeoutMillis, Consumer<StoreReply> callback) {
    Connection connection = new Connection();
    onConnect.run();
    KeepAliveBootstrap.bootstrap(group, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new TimedReads(work, workKind()))
                    .addLast(connection.framer)
                    .addLast(ResponseFramer.decoder())
                    .addLast(new HttpRequestEncoder())
                    .addLast(new HttpObjectAggregator(maxResponseBytes))
                    .addLast(connection);
              }
            })
        .connect(address)
        .addListener(
            future -> {
              if (future.isSuccess()) {
                connection.send(request, timeoutMillis, callback);
              } else {
                request.release();
                callback.accept(
                    new StoreReply.NotSent(String.valueOf(future.cause().getMessage())));
              }
            });
  }

  /**
   * One pooled connection. Responses have no identifiers, so the order on the connection alone
   * tells which request a response belongs to. The connection is closed as soon as it has received
   * anything that was not asked for.
   */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final ResponseFramer framer = new ResponseFramer();
    private Channel channel;
    private Consumer<StoreReply> pendingCallback;
    private EventLoop.Timer timeout;
    private StoreReply response;
    private boolean keepAlive;
    private boolean surplus;
    private boolean reused;
    private long idleSinceNanos;

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      channel = context.channel();
    }

    void send(FullHttpRequest request, long timeoutMillis, Consumer<StoreReply> callback) {
      pendingCallback = callback;
      timeout =
          NettyTimeLimits.start(channel.eventLoop(), timeoutMillis, () -> onTimeout(timeoutMillis));
      int bodyBytes = request.content().readableBytes();
      framer.requestSent(channel.writeAndFlush(request), bodyBytes);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse message) {
      if (pendingCallback == null || response != null) {
        surplus = true;
      } else if (message.decoderResult().isFailure()) {
        response = new StoreReply.Lost("not an answer");
        keepAlive = false;
      } else if (message.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
        byte[] body = new byte[message.content().readableBytes()];
        message.content().readBytes(body);
        response = new StoreReply.Answered(message.status().code(), body);
        keepAlive = HttpUtil.isKeepAlive(message);
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      boolean asked = pendingCallback != null;
      if (!asked && !channel.isActive()) {
        return;
      }
      boolean unsolicited = surplus || (!asked || response != null) && !framer.isAtBoundary();
      if (unsolicited) {
        log.write(GatewayEvent.UNSOLICITED_DATA, "kind", kind, "address", address, "asked", asked);
      }
      if (unsolicited && (reused || !asked)) {
        // The first of several responses may belong to an earlier request.
        fail("more than one answer");
      } else if (response != null) {
        complete(keepAlive && !unsolicited);
      }
    }

    private void complete(boolean reusable) {
      StoreReply reply = response;
      Consumer<StoreReply> callback = takePendingCallback();
      if (reusable && idle.size() < MAX_IDLE) {
        reused = true;
        idleSinceNanos = System.nanoTime();
        idle.addLast(this);
      } else {
        channel.close();
      }
      callback.accept(reply);
    }

    private Consumer<StoreReply> takePendingCallback() {
      Consumer<StoreReply> callback = pendingCallback;
      pendingCallback = null;
      response = null;
      if (timeout != null) {
        timeout.cancel();
      }
      return callback;
    }

    /** Closes the idle connections too, since they may be dead for the same reason as this one. */
    private void onTimeout(long timeoutMillis) {
      int closed = closeIdle();
      log.write(
          GatewayEvent.CONNECTION_SILENT,
          "kind",
          kind,
          "address",
          address,
          "ms",
          timeoutMillis,
          "resting",
          closed);
      fail("time-out");
    }

    private void fail(String reason) {
      idle.remove(this);
      channel.close();
      Consumer<StoreReply> callback = takePendingCallback();
      if (callback != null) {
        callback.accept(new StoreReply.Lost(reason));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      fail("closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (cause instanceof MalformedMessageException
          && (pendingCallback == null || response != null)) {
        // The end of the read decides on the response before these bytes.
        surplus = true;
        return;
      }
      fail(String.valueOf(cause.getMessage()));
    }
  }
}
