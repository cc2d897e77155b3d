package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.ScriptedEngine.After;
import org.baykeel.gateway.testing.ScriptedEngine.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards the limits on callers: requests within the limits of the configuration are served, and
 * those that do not end, or too many connections, give way.
 */
class TestCallerLimits {
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final long ROUTE_TIMEOUT_MILLIS = 10_000;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final RequestLimits LIMITS =
      new RequestLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, 1_000, 15_000);
  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Length: 4\r\n\r\nbody";
  private static final String HEAD = "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n";
  private static final String REQUEST = HEAD + "Content-Length: 0\r\n\r\n";

  /** The time between two bytes of a slow caller, less than the time limit of a head. */
  private static final int BYTE_MILLIS = 250;

  private ScriptedEngine engine;
  private LoopbackGateway gateway;

  private void start(int maxConnections) throws IOException {
    start(new ScriptedEngine(new Response(RESPONSE, After.KEEP)), maxConnections);
  }

  private void start(ScriptedEngine started, int maxConnections) throws IOException {
    engine = started;
    Route route = LoopbackGateway.route(RouteKind.UNSAFE, ROUTE_TIMEOUT_MILLIS);
    gateway =
        new LoopbackGateway(
            engine.port(), route, LIMITS, HeldBytesLimiter.Bounds.DEFAULT, maxConnections);
  }

  @AfterEach
  void stop() throws IOException {
    engine.close();
    gateway.close();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", gateway.port());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private static void write(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
  }

  private static String statusLine(Socket socket) throws IOException {
    return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
  }

  /** Sends bytes one by one, and returns whether the node closes the connection meanwhile. */
  private static boolean isClosedWhileSending(Socket socket, String bytes) throws IOException {
    OutputStream out = socket.getOutputStream();
    InputStream in = socket.getInputStream();
    socket.setSoTimeout(BYTE_MILLIS);
    for (byte octet : bytes.getBytes(StandardCharsets.US_ASCII)) {
      try {
        out.write(octet);
        if (in.read() < 0) {
          return true;
        }
      } catch (SocketTimeoutException e) {
        // The connection is open.
      } catch (IOException e) {
        // The connection was reset.
        return true;
      }
    }
    return false;
  }

  @Test
  void headOfTheLargestSizeInFewFieldsIsServed() throws Exception {
    start(10);
    try (Socket socket = connect()) {
      int length = MAX_HEADER_BYTES - REQUEST.length() - "X: \r\n".length();
      write(socket, HEAD + "X: " + "a".repeat(length) + "\r\nContent-Length: 0\r\n\r\n");
      assertEquals("HTTP/1.1 200", statusLine(socket));
    }
  }

  @Test
  void headOfTheLargestSizeInShortFieldsIsServed() throws Exception {
    start(10);
    try (Socket socket = connect()) {
      String fields = "a:\r\n".repeat((MAX_HEADER_BYTES - REQUEST.length()) / 4);
      write(socket, HEAD + fields + "Content-Length: 0\r\n\r\n");
      assertEquals("HTTP/1.1 200", statusLine(socket));
    }
  }

  /** Guards against callers that keep the event loop busy with heads that take long to decode. */
  @Test
  void connectionIsNotKeptAfterAHeadOfVeryManyFields() throws Exception {
    start(10);
    try (Socket socket = connect()) {
      String request = HEAD + "a:\r\n".repeat(1_000) + "Content-Length: 0\r\n\r\n";
      write(socket, request + request);
      String received =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(received.contains("connection: close"), received);
    }
    assertEquals(1, engine.requests().size());
  }

  @Test
  void bodyOfTheLargestSizeIsServedAndReleased() throws Exception {
    start(10);
    try (Socket socket = connect()) {
      write(socket, HEAD + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n");
      byte[] body = new byte[MAX_BODY_BYTES];
      Arrays.fill(body, (byte) 'a');
      socket.getOutputStream().write(body);
      assertEquals("HTTP/1.1 200", statusLine(socket));
    }
    assertEquals(0, gateway.requestBytes());
  }

  /** Guards against a caller that holds a request for ever with a byte from time to time. */
  @Test
  void headThatIsSentByteByByteIsGivenUp() throws Exception {
    start(10);
    try (Socket socket = connect()) {
      assertTrue(isClosedWhileSending(socket, REQUEST));
    }
    assertEquals(0, gateway.requestBytes());
  }

  @Test
  void bodyThatIsSentByteByByteIsGivenUp() throws Exception {
    start(10);
    try (Socket socket = connect()) {
      write(socket, HEAD + "Content-Length: 1000\r\n\r\n");
      assertTrue(isClosedWhileSending(socket, "a".repeat(100)));
    }
    assertEquals(0, gateway.requestBytes());
  }

  @Test
  void idleConnectionGivesWayToAnotherOne() throws Exception {
    start(2);
    try (Socket idle = connect();
        Socket second = connect()) {
      write(idle, REQUEST);
      write(second, REQUEST);
      assertEquals("HTTP/1.1 200", statusLine(idle));
      assertEquals("HTTP/1.1 200", statusLine(second));
      try (Socket third = connect()) {
        write(third, REQUEST);
        assertEquals("HTTP/1.1 200", statusLine(third));
        idle.getInputStream().readAllBytes();
        assertEquals(-1, idle.getInputStream().read());
      }
      write(second, REQUEST);
    }
  }

  @Test
  void connectionBeyondThoseInUseIsClosed() throws Exception {
    start(new ScriptedEngine(head -> delayed(2_000)), 1);
    try (Socket busy = connect()) {
      write(busy, REQUEST);
      gateway.awaitActiveCalls(1);
      try (Socket next = connect()) {
        assertThrows(IOException.class, () -> requireByte(next));
      }
      assertEquals("HTTP/1.1 200", statusLine(busy));
    }
  }

  private static void requireByte(Socket socket) throws IOException {
    if (socket.getInputStream().read() < 0) {
      throw new IOException("closed");
    }
  }

  private static Response delayed(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return new Response(RESPONSE, After.KEEP);
  }
}
