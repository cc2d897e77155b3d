package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A caller's kept connection to one node. */
final class Caller implements AutoCloseable {
  /** The end of one client attempt. */
  static final class Outcome {
    /** The status; 0 if there was no head. */
    int status;

    /** Whether the answer was complete. */
    boolean whole;

    /** Whether the connection was closed or reset before the end of the answer. */
    boolean cut;

    boolean timedOut;
    String retryAfter;
    int events;
    long sentMillis;
    long endMillis;
    boolean closes;

    @Override
    public String toString() {
      return "status " + status + (whole ? ", whole" : cut ? ", cut" : timedOut ? ", no end" : "")
          + (events > 0 ? ", events " + events : "") + ", ms " + (endMillis - sentMillis);
    }
  }

  final String node;
  private final Socket socket = new Socket();
  private final InputStream in;

  Caller(Node node) throws IOException {
    this(node.name, node.host, node.front);
  }

  Caller(String name, String host, int port) throws IOException {
    this.node = name;
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(host, port), 1_000);
    in = new BufferedInputStream(socket.getInputStream(), 65536);
  }

  /** Whether the node has closed the connection while it rested. */
  boolean closedByNode() {
    try {
      socket.setSoTimeout(1);
      in.mark(1);
      if (in.read() < 0) {
        return true;
      }
      in.reset();
      return false;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  static String request(String method, String path, String fields, int bodyBytes) {
    return method + ' ' + path + " HTTP/1.1\r\nHost: review.example\r\n" + fields
        + (method.equals("GET") ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n";
  }

  /** Sends a request and reads its answer, for as long as the caller waits. */
  Outcome exchange(String head, byte[] body, long deadlineMillis) {
    Outcome outcome = new Outcome();
    outcome.sentMillis = Threads.now();
    try {
      byte[] headBytes = head.getBytes(java.nio.charset.StandardCharsets.UTF_8);
      byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
      System.arraycopy(body, 0, all, headBytes.length, body.length);
      socket.getOutputStream().write(all);
      socket.setSoTimeout((int) deadlineMillis);
      Http.Message answer = Http.head(in);
      if (answer == null) {
        outcome.cut = true;
      } else {
        outcome.status = answer.status();
        outcome.retryAfter = answer.header("Retry-After");
        outcome.closes = answer.closes();
        if (answer.chunked()) {
          while (Http.chunk(in) != null) {
            outcome.events++;
            long left = outcome.sentMillis + deadlineMillis - Threads.now();
            if (left <= 0) {
              throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) left);
          }
        } else {
          int length = Integer.parseInt(answer.header("Content-Length"));
          if (in.readNBytes(length).length < length) {
            throw new IOException("cut");
          }
        }
        outcome.whole = true;
      }
    } catch (SocketTimeoutException e) {
      outcome.timedOut = true;
    } catch (IOException e) {
      outcome.cut = true;
    }
    outcome.endMillis = Threads.now();
    return outcome;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
