package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.ScriptedEngine.After;
import org.baykeel.gateway.testing.ScriptedEngine.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against answers of failing engines that callers get as the engine's: heads that obey no
 * grammar, and bodies whose end was not read.
 */
class TestAnswersOfFailingEngines {
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final long ROUTE_TIMEOUT_MILLIS = 5_000;
  private static final int UPLOAD_BYTES = 4_000_000;
  private static final int REPETITIONS = 10;
  private static final List<RouteKind> KINDS =
      List.of(RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.STREAMING);
  private static final String SIGNED = "X-Id: r1|X-Signed: s|Content-Type: text/plain|";

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private LoopbackGateway gateway;
  private AutoCloseable engine;

  private void startGateway(RouteKind kind, int enginePort) throws IOException {
    gateway =
        new LoopbackGateway(
            enginePort,
            LoopbackGateway.route(kind, ROUTE_TIMEOUT_MILLIS),
            RequestLimits.DEFAULT,
            HeldBytesLimiter.Bounds.DEFAULT);
  }

  @AfterEach
  void stop() throws Exception {
    executor.shutdownNow();
    gateway.close();
    engine.close();
  }

  private static String lines(String text) {
    return text.replace("|", "\r\n").replace("\\0", "\0");
  }

  /** Returns all that a caller receives until the node closes its connection. */
  private String exchange(int uploadBytes) throws IOException {
    try (Socket caller = new Socket("127.0.0.1", gateway.port())) {
      caller.setSoTimeout(TIMEOUT_MILLIS);
      String head =
          lines("POST /p/x HTTP/1.1|Host: h|X-Id: r1|Connection: close|Content-Length: ")
              + uploadBytes
              + "\r\n\r\n";
      caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      caller.getOutputStream().write(new byte[uploadBytes]);
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (IOException e) {
      // The connection was reset, which no caller takes for the end of a response.
      return "";
    }
  }

  /** Whether a caller takes what it received for a whole successful response. */
  private static boolean isCompleteSuccess(String received) {
    if (!received.startsWith("HTTP/1.1 2")) {
      return false;
    }
    boolean chunked = received.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked");
    return !chunked || received.endsWith("0\r\n\r\n");
  }

  private static Stream<Arguments> heads() {
    List<String> heads =
        List.of(
            "HTTP/1.1 0200 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 +200 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 000 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 099 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 600 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 999 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 2000 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/2.0 200 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 200 O\\0K|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "X Note: y|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "X\\0Note: y|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length x: 2|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length x: 2||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length : 2||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length\t: 2||body",
            "HTTP/1.1 200 OK|X-Id z: r1|X-Signed z: s|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Transfer-Encoding: xchunked||4|body|0||",
            "HTTP/1.1 200 OK|" + SIGNED + "Transfer-Encoding: identity||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Encoding: gzip|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length: 4| folded||body",
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length: 4|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + "a:|".repeat(1_000) + SIGNED + "Content-Length: 4||body");
    return KINDS.stream().flatMap(kind -> heads.stream().map(head -> Arguments.of(kind, head)));
  }

  @ParameterizedTest(name = "{0}, {1}")
  @MethodSource("heads")
  void answerWithAMalformedHeadIsNotPassedOn(RouteKind kind, String bytes) throws Exception {
    ScriptedEngine scripted = new ScriptedEngine(new Response(lines(bytes), After.CLOSE));
    engine = scripted;
    startGateway(kind, scripted.port());
    String received = exchange(0);
    assertTrue(received.startsWith("HTTP/1.1 502"), received);
  }

  private static Stream<Arguments> validAnswers() {
    List<String> answers =
        List.of(
            "HTTP/1.1 200 OK|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.1 200|" + SIGNED + "Content-Length: 4||body",
            "HTTP/1.0 200 OK|" + SIGNED + "Content-Length:4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "transfer-encoding: CHUNKED||4;x=y|body|0|T: u||",
            "HTTP/1.1 103 Early Hints|Link: x||HTTP/1.1 200 OK|"
                + SIGNED
                + "Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "X-Note: \u00e9 \t|Content-Length: 4||body",
            "HTTP/1.1 200 OK|" + SIGNED + "|body");
    return KINDS.stream()
        .flatMap(kind -> answers.stream().map(answer -> Arguments.of(kind, answer)));
  }

  @ParameterizedTest(name = "{0}, {1}")
  @MethodSource("validAnswers")
  void answerInEachFramingIsPassedOn(RouteKind kind, String bytes) throws Exception {
    ScriptedEngine scripted = new ScriptedEngine(new Response(lines(bytes), After.CLOSE));
    engine = scripted;
    startGateway(kind, scripted.port());
    String received = exchange(0);
    assertTrue(isCompleteSuccess(received), received);
    assertTrue(received.contains("body"), received);
  }

  /** How an engine ends the connection of an upload that it answers early. */
  private enum End {
    RESET_SOON {
      @Override
      void end(Socket connection) throws Exception {
        Thread.sleep(20);
        connection.setSoLinger(true, 0);
      }
    },
    RESET_AFTER_PART_OF_UPLOAD {
      @Override
      void end(Socket connection) throws Exception {
        connection.getInputStream().readNBytes(UPLOAD_BYTES / 4);
        connection.setSoLinger(true, 0);
      }
    },
    CLOSED_WITH_UNREAD_BYTES {
      @Override
      void end(Socket connection) {
        // The system resets a connection that is closed with unread bytes.
      }
    },
    HALF_CLOSED_AND_RESET {
      @Override
      void end(Socket connection) throws Exception {
        connection.shutdownOutput();
        Thread.sleep(20);
        connection.setSoLinger(true, 0);
      }
    },
    RESET_LATE {
      @Override
      void end(Socket connection) throws Exception {
        Thread.sleep(300);
        connection.setSoLinger(true, 0);
      }
    };

    abstract void end(Socket connection) throws Exception;
  }

  /** Starts an engine that answers each upload after its head, and then ends the connection. */
  private int startEarlyEngine(String bytes, End end) throws IOException {
    ServerSocket listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    engine = listener;
    executor.execute(
        () -> {
          try {
            while (true) {
              Socket connection = listener.accept();
              executor.execute(() -> answerEarly(connection, bytes, end));
            }
          } catch (IOException e) {
            // Closed by the test.
          }
        });
    return listener.getLocalPort();
  }

  private static void answerEarly(Socket accepted, String bytes, End end) {
    try (Socket connection = accepted) {
      readHead(connection.getInputStream());
      connection.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      end.end(connection);
    } catch (Exception e) {
      // The node has closed the connection.
    }
  }

  private static void readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int octet = in.read();
      if (octet < 0) {
        throw new IOException("closed in the head");
      }
      head.append((char) octet);
    }
  }

  private static Stream<Arguments> ends() {
    return KINDS.stream()
        .flatMap(kind -> Stream.of(End.values()).map(end -> Arguments.of(kind, end)));
  }

  @ParameterizedTest(name = "{0}, {1}")
  @MethodSource("ends")
  void partOfAnAnswerWithoutLengthIsNotPassedOnAsWhole(RouteKind kind, End end) throws Exception {
    startGateway(kind, startEarlyEngine(lines("HTTP/1.1 200 OK|" + SIGNED + "|part"), end));
    List<String> whole = new ArrayList<>();
    for (int i = 0; i < REPETITIONS; i++) {
      String received = exchange(UPLOAD_BYTES);
      if (isCompleteSuccess(received)) {
        whole.add(received);
      }
    }
    assertEquals(List.of(), whole);
  }

  /** An engine may answer before it has read all of a long body. */
  @ParameterizedTest
  @EnumSource(names = "RESET_LATE")
  void earlyAnswerWithLengthIsPassedOn(End end) throws Exception {
    startGateway(
        RouteKind.UNSAFE,
        startEarlyEngine(lines("HTTP/1.1 200 OK|" + SIGNED + "Content-Length: 4||body"), end));
    String received = exchange(UPLOAD_BYTES);
    assertTrue(received.startsWith("HTTP/1.1 200") && received.endsWith("body"), received);
  }

  @Test
  void answerWithoutLengthToALongUploadIsPassedOn() throws Exception {
    String bytes = lines("HTTP/1.1 200 OK|" + SIGNED + "|body");
    ScriptedEngine scripted = new ScriptedEngine(new Response(bytes, After.CLOSE));
    engine = scripted;
    startGateway(RouteKind.UNSAFE, scripted.port());
    String received = exchange(UPLOAD_BYTES);
    assertTrue(isCompleteSuccess(received) && received.endsWith("body"), received);
  }

  /** Guards against a success that is the part of an answer that was read before a time limit. */
  @Test
  void answerWithoutLengthWhoseConnectionStaysOpenIsNotPassedOnAsWhole() throws Exception {
    ScriptedEngine scripted =
        new ScriptedEngine(new Response(lines("HTTP/1.1 200 OK|" + SIGNED + "|part"), After.KEEP));
    engine = scripted;
    startGateway(RouteKind.UNSAFE, scripted.port());
    String received = exchange(0);
    assertTrue(received.startsWith("HTTP/1.1 50"), received);
  }
}
