package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that callers on loopback that stop reading do not make the node buffer without limit. The
 * engine writes its response as fast as the node reads it.
 */
class TestSlowCallers {
  private static final long CALL_BYTES = 256 << 10;
  private static final int EVENT_BYTES = 1_024;
  private static final int EVENTS = 32 << 10;
  private static final long RESPONSE_BYTES = (long) EVENT_BYTES * EVENTS;

  /** More than the buffers of all sockets in between hold, at most half of the response. */
  private static final long SOCKETS_BYTES = 16 << 20;

  /** The bytes beyond the limit that one read of an engine's connection may add. */
  private static final long ONE_READ_BYTES = 1 << 20;

  private static final int TIMEOUT_MILLIS = 60_000;
  private static final RequestLimits LIMITS =
      new RequestLimits(2_000, 100, TIMEOUT_MILLIS, TIMEOUT_MILLIS);
  private static final String REQUEST =
      "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n";

  private final AtomicLong engineWrote = new AtomicLong();
  private final List<Socket> callers = new ArrayList<>();
  private ServerSocket engine;
  private LoopbackGateway gateway;

  @BeforeEach
  void startEngine() throws IOException {
    engine = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket caller : callers) {
      caller.close();
    }
    engine.close();
    gateway.close();
  }

  private void start(RouteKind kind, HeldBytesLimiter.Bounds bounds) throws IOException {
    Route route = LoopbackGateway.route(kind, TIMEOUT_MILLIS);
    gateway = new LoopbackGateway(engine.getLocalPort(), route, LIMITS, bounds);
    inBackground(
        () -> {
          while (true) {
            Socket socket = engine.accept();
            inBackground(() -> respond(socket, kind));
          }
        });
  }

  /** Runs a task that fails once the test closes its socket. */
  private static void inBackground(Callable<Void> task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.call();
              } catch (Exception e) {
                // The socket was closed.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private Void respond(Socket socket, RouteKind kind) throws IOException {
    try (socket) {
      readHead(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      boolean stream = kind == RouteKind.STREAMING;
      String type = stream ? "text/event-stream" : "text/plain";
      String head =
          "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Type: "
              + type
              + "\r\nContent-Length: "
              + RESPONSE_BYTES
              + "\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      for (int i = 1; i <= EVENTS; i++) {
        out.write(event(i));
        engineWrote.addAndGet(EVENT_BYTES);
      }
      out.flush();
      return null;
    }
  }

  private static byte[] event(int number) {
    String begin = "id: " + number + "\ndata: ";
    String fill = "x".repeat(EVENT_BYTES - begin.length() - 2);
    return (begin + fill + "\n\n").getBytes(StandardCharsets.US_ASCII);
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int octet = in.read();
      if (octet < 0) {
        throw new IOException("closed after: " + head);
      }
      head.append((char) octet);
    }
    return head.toString();
  }

  /** A caller that sends a request and reads nothing for now. */
  private Socket call() throws IOException {
    Socket socket = new Socket();
    callers.add(socket);
    socket.setReceiveBufferSize(256 << 10);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.connect(new InetSocketAddress("127.0.0.1", gateway.port()));
    socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static void await(Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
    while (!condition.call()) {
      assertTrue(System.nanoTime() - end < 0, "not within " + TIMEOUT_MILLIS + " ms");
      Thread.sleep(20);
    }
  }

  /** Reads a chunked body, or one of the expected length. */
  private static byte[] readBody(Socket socket, String head) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
    if (!head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")) {
      return in.readNBytes((int) RESPONSE_BYTES);
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String line = readLine(in);
      int length = Integer.parseInt(line, 16);
      body.writeBytes(in.readNBytes(length));
      readLine(in);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int octet = in.read();
    while (octet != '\n') {
      if (octet < 0) {
        throw new IOException("closed after: " + line);
      }
      if (octet != '\r') {
        line.append((char) octet);
      }
      octet = in.read();
    }
    return line.toString();
  }

  private static void assertWhole(byte[] body) {
    assertEquals(RESPONSE_BYTES, body.length);
    for (int i = 1; i <= EVENTS; i += 997) {
      byte[] expected = event(i);
      int from = (i - 1) * EVENT_BYTES;
      assertEquals(
          new String(expected, StandardCharsets.US_ASCII),
          new String(body, from, EVENT_BYTES, StandardCharsets.US_ASCII));
    }
  }

  private void awaitPausedEngine() throws Exception {
    await(() -> gateway.paused() > 0);
    long before = -1;
    while (before != engineWrote.get()) {
      before = engineWrote.get();
      Thread.sleep(300);
    }
  }

  @Test
  void readsAnEngineNoFasterThanItsCallerReads() throws Exception {
    start(RouteKind.STREAMING, HeldBytesLimiter.Bounds.DEFAULT);
    Socket caller = call();
    awaitPausedEngine();
    long held = gateway.heldBytes();
    assertTrue(held >= CALL_BYTES && held < CALL_BYTES + ONE_READ_BYTES, "held " + held);
    assertTrue(engineWrote.get() < SOCKETS_BYTES, "engine wrote " + engineWrote);
    String head = readHead(caller.getInputStream());
    assertWhole(readBody(caller, head));
    await(() -> gateway.heldBytes() == 0 && gateway.paused() == 0);
  }

  @Test
  void deliversACompleteResponseAfterItsEngineHasFinished() throws Exception {
    start(RouteKind.UNSAFE, new HeldBytesLimiter.Bounds(CALL_BYTES, 8 << 20, 5_000));
    Socket caller = call();
    await(() -> engineWrote.get() == RESPONSE_BYTES);
    engine.close();
    await(() -> gateway.heldBytes() > CALL_BYTES);
    readHead(caller.getInputStream());
    byte[] body = new byte[(int) RESPONSE_BYTES];
    int read = 0;
    while (read < body.length) {
      Thread.sleep(read < 3 * (4 << 20) ? 100 : 0);
      int length = Math.min(4 << 20, body.length - read);
      read += caller.getInputStream().readNBytes(body, read, length);
    }
    assertWhole(body);
    assertEquals(List.of(), gateway.events());
  }

  @Test
  void aPlannedStopWaitsForUnreadResponses() throws Exception {
    start(RouteKind.UNSAFE, HeldBytesLimiter.Bounds.DEFAULT);
    Socket caller = call();
    await(() -> gateway.heldBytes() > CALL_BYTES);
    assertEquals(1, gateway.activeCalls());
    gateway.closeIdle();
    assertWhole(readBody(caller, readHead(caller.getInputStream())));
    await(() -> gateway.activeCalls() == 0);
  }

  @Test
  void disconnectsCallersThatReadNothingWhenTheNodeIsAtItsLimit() throws Exception {
    start(RouteKind.STREAMING, new HeldBytesLimiter.Bounds(64 << 10, 160 << 10, 3_000));
    Socket first = call();
    awaitPausedEngine();
    assertEquals(List.of(), gateway.events());
    call();
    call();
    await(() -> gateway.events().contains(GatewayEvent.CALLER_TOO_SLOW));
    await(() -> gateway.heldBytes() < 160 << 10);
    // A caller that reads is served in the meantime.
    Socket reader = call();
    assertWhole(readBody(reader, readHead(reader.getInputStream())));
    assertTrue(first.isConnected());
  }
}
