package org.baykeel.gateway.testing;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine on loopback that responds to each request with scripted bytes. */
public final class ScriptedEngine implements AutoCloseable {
  /** The state of a connection after a response. */
  public enum After {
    KEEP,
    /** As KEEP, and the response is sent once more before the next one on the connection. */
    REPEAT,
    CLOSE,
    RESET
  }

  /**
   * The bytes of one response and the state of the connection after it.
   *
   * @param late is sent before the next response on the connection
   */
  public record Response(String bytes, After after, String late) {
    public Response(String bytes, After after) {
      this(bytes, after, after == After.REPEAT ? bytes : "");
    }
  }

  private final ServerSocket listener;
  private final List<Response> responses;
  private final AtomicInteger next = new AtomicInteger();
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger open = new AtomicInteger();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<String> requests = new CopyOnWriteArrayList<>();

  public ScriptedEngine(Response... responses) throws IOException {
    this.responses = List.of(responses);
    this.listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "scripted-engine");
    thread.setDaemon(true);
    thread.start();
  }

  public int port() {
    return listener.getLocalPort();
  }

  /** Returns how many connections were opened. */
  public int connections() {
    return connections.get();
  }

  /** Waits until the given number of connections is open. */
  public void awaitOpen(int count) throws InterruptedException {
    long end = System.nanoTime() + 10_000_000_000L;
    while (open.get() != count) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError(open.get() + " connections are open, not " + count);
      }
      Thread.sleep(10);
    }
  }

  /** Returns how many connections are open now, as far as this side has noticed. */
  public int open() {
    return open.get();
  }

  /** Returns the heads of the requests, in order of arrival. */
  public List<String> requests() {
    return requests;
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        sockets.add(socket);
        connections.incrementAndGet();
        open.incrementAndGet();
        start(() -> serve(socket));
      }
    } catch (IOException e) {
      // Closed by the test.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String late = "";
      while (true) {
        String head = readHead(socket.getInputStream());
        if (head == null) {
          return;
        }
        requests.add(head);
        Response response = responses.get(Math.min(next.getAndIncrement(), responses.size() - 1));
        String bytes = late + response.bytes();
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
        late = response.late();
        if (response.after() == After.RESET) {
          Thread.sleep(100);
          socket.setSoLinger(true, 0);
          return;
        }
        if (response.after() == After.CLOSE) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    } finally {
      open.decrementAndGet();
    }
  }

  /** Reads a request's head and the body whose length it gives; returns the head. */
  private static String readHead(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (true) {
      int octet = in.read();
      if (octet < 0) {
        return null;
      }
      bytes.write(octet);
      String head = bytes.toString(StandardCharsets.US_ASCII);
      if (head.endsWith("\r\n\r\n")) {
        java.util.regex.Matcher length =
            java.util.regex.Pattern.compile("(?i)content-length: (\\d+)").matcher(head);
        if (length.find()) {
          in.readNBytes(Integer.parseInt(length.group(1)));
        }
        return head;
      }
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
