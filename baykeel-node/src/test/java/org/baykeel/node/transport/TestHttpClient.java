package org.baykeel.node.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.baykeel.core.message.Payload;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against responses of back ends that are taken for whole although they are not valid. */
class TestHttpClient {
  private static final int REQUEST_MILLIS = 10_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Collects a response. */
  private static final class Outcome implements HttpCallListener {
    private final CompletableFuture<String> end = new CompletableFuture<>();
    private final StringBuilder response = new StringBuilder();

    @Override
    public void onHead(int status, HttpHeaders headers) {
      response.append(status).append(' ');
    }

    @Override
    public void onContent(ByteBuf content) {
      response.append(content.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void onComplete() {
      end.complete(response.toString());
    }

    @Override
    public void onFailure(boolean requestSent) {
      end.complete("failed");
    }
  }

  private static void respond(ServerSocket listener, String bytes) {
    try (Socket connection = listener.accept()) {
      StringBuilder request = new StringBuilder();
      while (request.indexOf("\r\n\r\n") < 0) {
        request.append((char) connection.getInputStream().read());
      }
      connection.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1 200 OK|Content-Length: 4||body, 200 body",
    "HTTP/1.1 200 OK||body, 200 body",
    "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|body|0||, 200 body",
    "HTTP/1.1 200 OK|Content-Length: 9||body, failed",
    "HTTP/1.1 000 OK|Content-Length: 4||body, failed",
    "HTTP/1.1 999 OK|Content-Length: 4||body, failed",
    "HTTP/2.0 200 OK|Content-Length: 4||body, failed",
    "HTTP/1.1 200 OK|Content-Length x: 2||body, failed",
    "HTTP/1.1 200 OK|Transfer-Encoding: xchunked||body, failed",
  })
  void onlyAValidResponseIsPassedOn(String bytes, String expected) throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
      Thread server = new Thread(() -> respond(listener, bytes.replace("|", "\r\n")));
      server.setDaemon(true);
      server.start();
      Outcome outcome = new Outcome();
      HttpCall call =
          new HttpCall(
              "127.0.0.1:" + listener.getLocalPort(), "GET", "/", Map.of(), Payload.EMPTY, true);
      new HttpClient(group).start(call, outcome, REQUEST_MILLIS);
      assertEquals(expected, outcome.end.get(2L * REQUEST_MILLIS, TimeUnit.MILLISECONDS));
    }
  }
}
