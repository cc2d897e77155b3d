package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against connections to the readiness check that use up memory or descriptors. */
class TestReadinessServer {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int CROWD = 200;
  private static final String REQUEST = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Socket> crowd = new ArrayList<>();
  private int port;

  @BeforeEach
  void start() {
    NettyEventLoop eventLoop = new NettyEventLoop(group.next(), (event, fields) -> {});
    port =
        ((InetSocketAddress)
                new ReadinessServer(() -> true, new GatewayMetrics(), eventLoop)
                    .listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .syncUninterruptibly()
                    .channel()
                    .localAddress())
            .getPort();
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : crowd) {
      socket.close();
    }
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private static void write(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
  }

  private static String statusLine(Socket socket) throws IOException {
    return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
  }

  private static boolean isOpen(Socket socket) throws IOException {
    socket.setSoTimeout(1);
    try {
      return socket.getInputStream().read() >= 0;
    } catch (SocketTimeoutException e) {
      return true;
    } catch (IOException e) {
      // The connection was reset.
      return false;
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"GET /ready", "GET /ready HTTP/1.1|Host: h|"})
  void crowdOfIncompleteRequestsGivesWay(String text) throws Exception {
    for (int i = 0; i < CROWD; i++) {
      crowd.add(connect());
      try {
        write(crowd.get(i), text.replace("|", "\r\n"));
      } catch (IOException e) {
        // The node has closed the connection.
      }
    }
    try (Socket ordinary = connect()) {
      write(ordinary, REQUEST);
      assertEquals("HTTP/1.1 200", statusLine(ordinary));
    }
    int open = 0;
    for (Socket socket : crowd) {
      open += isOpen(socket) ? 1 : 0;
    }
    int stillOpen = open;
    assertTrue(open < ReadinessServer.MAX_CONNECTIONS, () -> stillOpen + " open");
  }

  @Test
  void keptConnectionServesFurtherRequests() throws Exception {
    try (Socket socket = connect()) {
      for (int i = 0; i < 3; i++) {
        write(socket, REQUEST);
        assertEquals("HTTP/1.1 200", statusLine(socket));
        String rest = "";
        while (!rest.endsWith("ready\n")) {
          rest += (char) socket.getInputStream().read();
        }
      }
    }
  }

  @Test
  void malformedRequestIsClosed() throws Exception {
    try (Socket socket = connect()) {
      write(socket, "GET /ready HTTP/1.1\r\nHost : h\r\n\r\n");
      assertEquals(-1, socket.getInputStream().read());
    }
  }
}
