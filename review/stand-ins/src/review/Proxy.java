package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes connections on. {@link #silence} makes the connections that are open at that moment say
 * nothing more, in both directions and without a reset; later connections work.
 */
final class Proxy implements AutoCloseable {
  private static final class Link {
    final Socket near;
    final Socket far;
    volatile boolean silent;

    Link(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }
  }

  private final ServerSocket server = new ServerSocket();
  private final int target;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();

  Proxy(String host, int target) throws IOException {
    this.target = target;
    server.bind(new InetSocketAddress(host, 0), 256);
    Threads.start("proxy", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Silences the open connections for good; returns their number. */
  int silence() {
    int silenced = 0;
    for (Link link : links) {
      if (!link.silent) {
        link.silent = true;
        silenced++;
      }
    }
    return silenced;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket near = server.accept();
        Socket far = new Socket();
        far.connect(new InetSocketAddress("127.0.0.1", target), 1_000);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Link link = new Link(near, far);
        links.add(link);
        Threads.start("proxy-up", () -> pump(link, near, far));
        Threads.start("proxy-down", () -> pump(link, far, near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void pump(Link link, Socket from, Socket to) {
    byte[] buffer = new byte[65536];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int count;
      while ((count = in.read(buffer)) >= 0) {
        if (!link.silent) {
          out.write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // Ends below.
    }
    // The end of one side is passed on unless the connection is silent.
    if (!link.silent) {
      links.remove(link);
      closeQuietly(link.near);
      closeQuietly(link.far);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing to do.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Link link : links) {
      closeQuietly(link.near);
      closeQuietly(link.far);
    }
  }
}
