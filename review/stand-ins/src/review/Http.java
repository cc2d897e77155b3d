package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets, for stand-ins and callers. */
final class Http {
  private Http() {}

  /** A request or a response. */
  static final class Message {
    String first;
    final List<String[]> fields = new ArrayList<>();
    byte[] body = new byte[0];

    String header(String name) {
      for (String[] field : fields) {
        if (field[0].equalsIgnoreCase(name)) {
          return field[1];
        }
      }
      return null;
    }

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    boolean chunked() {
      String coding = header("Transfer-Encoding");
      return coding != null && coding.toLowerCase().contains("chunked");
    }

    boolean closes() {
      String connection = header("Connection");
      return connection != null && connection.toLowerCase().contains("close");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads a line without its end; null at the end of the stream. */
  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int c;
    while ((c = in.read()) >= 0) {
      if (c == '\n') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(c);
    }
    return null;
  }

  /** Reads the first line and the fields; null if the connection ended before them. */
  static Message head(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Message message = new Message();
    message.first = first;
    String field;
    while ((field = line(in)) != null && !field.isEmpty()) {
      int colon = field.indexOf(':');
      message.fields.add(
          new String[] {field.substring(0, colon).trim(), field.substring(colon + 1).trim()});
    }
    if (field == null) {
      return null;
    }
    return message;
  }

  /** Reads one chunk; null after the last one. */
  static byte[] chunk(InputStream in) throws IOException {
    String size = line(in);
    if (size == null) {
      throw new EOFException("end of stream instead of a chunk");
    }
    int length = Integer.parseInt(size.split(";")[0].trim(), 16);
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length || line(in) == null) {
      throw new EOFException("end of stream within a chunk");
    }
    return length == 0 ? null : bytes;
  }

  /** Reads a whole message; null if the connection ended before it. */
  static Message read(InputStream in) throws IOException {
    Message message = head(in);
    if (message == null) {
      return null;
    }
    if (message.chunked()) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      byte[] part;
      while ((part = chunk(in)) != null) {
        body.writeBytes(part);
      }
      message.body = body.toByteArray();
    } else if (message.header("Content-Length") != null) {
      int length = Integer.parseInt(message.header("Content-Length"));
      message.body = in.readNBytes(length);
      if (message.body.length < length) {
        throw new EOFException("end of stream within a body");
      }
    }
    return message;
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  static String response(int status, String fields, String body) {
    return "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: "
        + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
  }

  /** Handles requests of one connection. */
  interface Handler {
    /** Answers a request; returns whether the connection stays open. */
    boolean handle(Message request, Connection connection) throws Exception;
  }

  /** A connection that a server accepted. */
  static final class Connection {
    final Socket socket;
    final InputStream in;
    final OutputStream out;
    Object attachment;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.in = new BufferedInputStream(socket.getInputStream(), 65536);
      this.out = socket.getOutputStream();
    }
  }

  /** A server with a thread per connection. */
  static final class Server implements AutoCloseable {
    private final ServerSocket server = new ServerSocket();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Handler handler;

    Server(String host, int port, Handler handler) throws IOException {
      this.handler = handler;
      server.setReuseAddress(true);
      server.bind(new InetSocketAddress(host, port), 512);
      Threads.start("accept", this::accept);
    }

    int port() {
      return server.getLocalPort();
    }

    private void accept() {
      while (!server.isClosed()) {
        try {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          open.add(socket);
          Threads.start("serve", () -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        Connection connection = new Connection(socket);
        Message request;
        while ((request = read(connection.in)) != null) {
          if (!handler.handle(request, connection)) {
            return;
          }
        }
      } catch (Exception e) {
        // The peer or this server closed the connection.
      } finally {
        open.remove(socket);
      }
    }

    /** Ends the server and all its connections. */
    @Override
    public void close() throws IOException {
      server.close();
      for (Socket socket : open) {
        socket.close();
      }
    }
  }
}
