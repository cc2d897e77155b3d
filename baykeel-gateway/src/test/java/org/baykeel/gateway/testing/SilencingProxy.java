package org.baykeel.gateway.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Forwards connections to a server on loopback. {@link #silence} stops all data on the connections
 * that are open at that time, for good and without closing them; later connections work.
 */
public final class SilencingProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 16_384;

  private final ServerSocket listener;
  private final int targetPort;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final AtomicInteger silentUpTo = new AtomicInteger();
  private final AtomicInteger connections = new AtomicInteger();

  public SilencingProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  public int port() {
    return listener.getLocalPort();
  }

  /** Returns how many connections were opened. */
  public int connections() {
    return connections.get();
  }

  /** Stops all data on the connections that are open now. */
  public void silence() {
    silentUpTo.set(connections.get());
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "silencing-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket caller = listener.accept();
        Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        sockets.add(caller);
        sockets.add(target);
        int number = connections.incrementAndGet();
        start(() -> pass(number, caller, target));
        start(() -> pass(number, target, caller));
      }
    } catch (IOException e) {
      // Closed by the test.
    }
  }

  private void pass(int number, Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        if (number > silentUpTo.get()) {
          out.write(buffer, 0, read);
        }
      }
      if (number > silentUpTo.get()) {
        to.close();
      }
    } catch (IOException e) {
      // One of the two connections is closed.
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
