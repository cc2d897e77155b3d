package org.baykeel.node.transport;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.baykeel.gateway.http.ResponseFramer;

/** HTTP/1.1 to outside services, on Netty's codec, with kept connections. */
public final class HttpClient {
  private static final int CONNECT_MILLIS = 1_000;
  private static final int KEPT_PER_ADDRESS = 64;

  private final EventLoopGroup group;
  private final Map<String, ConcurrentLinkedDeque<Channel>> kept = new ConcurrentHashMap<>();

  public HttpClient(EventLoopGroup group) {
    this.group = requireNonNull(group, "group");
  }

  /** A request under way. */
  public final class Exchange {
    private final HttpCall call;
    private final HttpCallListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean sent;
    private volatile Channel channel;

    private Exchange(HttpCall call, HttpCallListener listener) {
      this.call = call;
      this.listener = listener;
    }

    /** Gives the request up: closes the connection and reports nothing further. */
    public void abort() {
      if (ended.compareAndSet(false, true)) {
        closeChannel();
      }
    }

    private void closeChannel() {
      Channel present = channel;
      if (present != null) {
        present.close();
      }
    }

    private void fail() {
      if (ended.compareAndSet(false, true)) {
        closeChannel();
        listener.onFailure(sent);
      }
    }

    private void complete(boolean keep) {
      if (!ended.compareAndSet(false, true)) {
        return;
      }
      Channel finished = channel;
      finished.pipeline().remove(ResponseHandler.class);
      if (keep) {
        keep(call.address(), finished);
      } else {
        finished.close();
      }
      listener.onComplete();
    }

    private void start(Channel opened) {
      channel = opened;
      if (ended.get()) {
        opened.close();
        return;
      }
      opened.pipeline().addLast(new ResponseHandler(this));
      sent = true;
      opened
          .writeAndFlush(request(call))
          .addListener(
              written -> {
                if (!written.isSuccess()) {
                  fail();
                }
              });
    }
  }

  /**
   * Starts a request.
   *
   * @param timeoutMillis longest time for the whole answer; zero for no limit
   */
  public Exchange start(HttpCall call, HttpCallListener listener, int timeoutMillis) {
    Exchange exchange = new Exchange(call, listener);
    Channel reused = call.freshConnection() ? null : takeKept(call.address());
    if (reused != null) {
      reused.eventLoop().execute(() -> exchange.start(reused));
    } else {
      connect(exchange);
    }
    if (timeoutMillis > 0) {
      group.schedule(exchange::fail, timeoutMillis, TimeUnit.MILLISECONDS);
    }
    return exchange;
  }

  private void connect(Exchange exchange) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new ResponseFramer()).addLast(new HttpClientCodec());
                  }
                })
            .connect(parse(exchange.call.address()));
    connecting.addListener(
        result -> {
          if (result.isSuccess()) {
            exchange.start(connecting.channel());
          } else {
            exchange.fail();
          }
        });
  }

  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    return new InetSocketAddress(address.substring(0, colon), port);
  }

  private static FullHttpRequest request(HttpCall call) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method()),
            call.path(),
            Unpooled.wrappedBuffer(call.body().array()));
    request.headers().set(HttpHeaderNames.HOST, call.address());
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length());
    request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    call.headers().forEach(request.headers()::set);
    return request;
  }

  private Channel takeKept(String address) {
    ConcurrentLinkedDeque<Channel> channels = kept.get(address);
    while (channels != null) {
      Channel channel = channels.pollFirst();
      if (channel == null || channel.isActive()) {
        return channel;
      }
    }
    return null;
  }

  private void keep(String address, Channel channel) {
    ConcurrentLinkedDeque<Channel> channels =
        kept.computeIfAbsent(address, key -> new ConcurrentLinkedDeque<>());
    if (channels.size() < KEPT_PER_ADDRESS && channel.isActive()) {
      channels.addFirst(channel);
    } else {
      channel.close();
    }
  }

  private static final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final Exchange exchange;
    private boolean keepAlive;

    ResponseHandler(Exchange exchange) {
      this.exchange = exchange;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (exchange.ended.get()) {
        return;
      }
      if (message instanceof HttpResponse response) {
        keepAlive = HttpUtil.isKeepAlive(response);
        exchange.listener.onHead(response.status().code(), response.headers());
      }
      if (message instanceof HttpContent content) {
        if (content.decoderResult().isFailure()) {
          exchange.fail();
          return;
        }
        if (content.content().isReadable()) {
          exchange.listener.onContent(content.content());
        }
      }
      if (message instanceof LastHttpContent) {
        exchange.complete(keepAlive);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      exchange.fail();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      exchange.fail();
    }
  }
}
