package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks the connections of callers on loopback while a complete node stops as planned. */
class TestPlannedStop {
  private static final int TIMEOUT_MILLIS = 10_000;

  /** Longer than a test waits, so that no other time limit closes a connection. */
  private static final int LIMIT_MILLIS = 60_000;

  private static final String REQUEST = "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n\r\n";
  private static final String NEXT_REQUEST = REQUEST.replace("r1", "r2");
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private ServerSocket engine;
  private LoopbackGateway gateway;

  /** A connection at one of its ends. */
  private static final class Peer implements AutoCloseable {
    private final Socket socket;
    private final BufferedReader in;

    Peer(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(TIMEOUT_MILLIS);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads lines up to one that starts with a text, and returns all of them. */
    String readTo(String start) throws IOException {
      StringBuilder lines = new StringBuilder();
      String line;
      do {
        line = in.readLine();
        lines.append(line).append('\n');
      } while (line != null && !line.startsWith(start));
      return lines.toString();
    }

    /** Reads the head of a request and returns it. */
    String readHead() throws IOException {
      StringBuilder head = new StringBuilder();
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        head.append(line).append('\n');
      }
      return head.toString();
    }

    /** Reads until the other end closes the connection. */
    String readToEnd() throws IOException {
      StringBuilder text = new StringBuilder();
      for (int octet = in.read(); octet >= 0; octet = in.read()) {
        text.append((char) octet);
      }
      return text.toString();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  @BeforeEach
  void start() throws IOException {
    engine = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    engine.setSoTimeout(TIMEOUT_MILLIS);
    Route route = LoopbackGateway.route(RouteKind.STREAMING, LIMIT_MILLIS);
    gateway =
        new LoopbackGateway(
            engine.getLocalPort(),
            route,
            new RequestLimits(2_000, 100, LIMIT_MILLIS, LIMIT_MILLIS),
            HeldBytesLimiter.Bounds.DEFAULT);
  }

  @AfterEach
  void stop() throws IOException {
    engine.close();
    gateway.close();
  }

  private Peer connect() throws IOException {
    return new Peer(new Socket("127.0.0.1", gateway.port()));
  }

  /** Accepts the node's connection, reads its request and sends the first event of a stream. */
  private Peer beginStream() throws IOException {
    Peer peer = new Peer(engine.accept());
    peer.readHead();
    peer.write(
        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s\r\nContent-Type: text/event-stream\r\n"
            + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
    peer.write(event(1));
    return peer;
  }

  private static String event(int id) {
    String text = "id: " + id + "\ndata: d\n\n";
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /**
   * Guards against requests that are lost since a stopping node takes them on a connection whose
   * stream spanned the moment at which idle connections were closed.
   */
  @Test
  void aConnectionIsClosedBehindAStreamThatSpansTheCloseOfIdleConnections() throws Exception {
    try (Peer caller = connect()) {
      caller.write(REQUEST);
      try (Peer server = beginStream()) {
        caller.readTo("data: ");
        gateway.closeIdle();
        server.write(event(2) + LAST_CHUNK);
        assertTrue(caller.readToEnd().endsWith(LAST_CHUNK));
      }
    }
  }

  /**
   * Guards against a request that gets no answer since it arrived before the end of the stream
   * behind which the connection closes.
   */
  @Test
  void aRequestThatArrivedDuringTheStreamIsAnsweredBeforeTheConnectionIsClosed() throws Exception {
    try (Peer caller = connect()) {
      caller.write(REQUEST + NEXT_REQUEST);
      try (Peer server = beginStream()) {
        caller.readTo("data: ");
        gateway.closeIdle();
        server.write(event(2) + LAST_CHUNK);
        try (Peer next = new Peer(engine.accept())) {
          assertTrue(next.readHead().contains("r2"));
          next.write("HTTP/1.1 404 Not Found\r\nX-Id: r2\r\nContent-Length: 0\r\n\r\n");
          String rest = caller.readToEnd();
          assertTrue(rest.contains("HTTP/1.1 404"), rest);
        }
      }
    }
  }

  /**
   * Guards against requests that are lost on a connection that was open only because its caller had
   * not read all of an answer when idle connections were closed.
   */
  @Test
  void aConnectionIsClosedOnceTheCallerHasReadItsAnswer() throws Exception {
    String body = "b".repeat(16 << 20);
    try (Peer caller = connect()) {
      caller.write(REQUEST);
      try (Peer server = new Peer(engine.accept())) {
        server.readHead();
        server.write(
            "HTTP/1.1 404 Not Found\r\nX-Id: r1\r\nContent-Length: " + body.length() + "\r\n\r\n");
        server.write(body);
        caller.readTo("HTTP/1.1 404");
        gateway.awaitHeldBytes();
        gateway.closeIdle();
        assertEquals(1, gateway.activeCalls());
        assertTrue(caller.readToEnd().endsWith(body));
      }
    }
  }

  /** Guards against an upload that the end of the process cuts off without a response. */
  @Test
  void anUploadInProgressIsRefusedWhenTheProcessEnds() throws Exception {
    try (Peer caller = connect()) {
      caller.write("POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nContent-Length: 9\r\n\r\nab");
      gateway.awaitActiveCalls(1);
      gateway.closeIdle();
      gateway.endCalls();
      String response = caller.readToEnd();
      assertTrue(response.startsWith("HTTP/1.1 503"), response);
    }
  }
}
