package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.testing.ScriptedEngine;
import org.baykeel.gateway.testing.ScriptedEngine.After;
import org.baykeel.gateway.testing.ScriptedEngine.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Sends requests through a complete node to an engine that cuts its responses. */
class TestCutResponses {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final long RESET_DELAY_MILLIS = 2;

  /** Only every one of so many offsets is tested with a reset, which takes longer than a close. */
  private static final int RESET_STRIDE = 4;

  private static final Pattern ID = Pattern.compile("X-Id: (\\S+)");
  private static final Pattern LENGTH = Pattern.compile("(?im)^content-length: (\\d+)\r$");
  private static final String BODY = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private final Map<String, Response> responses = new ConcurrentHashMap<>();
  private ScriptedEngine engine;
  private LoopbackGateway gateway;
  private int requests;

  /** How the end of a response is marked. */
  private enum Framing {
    LENGTH {
      @Override
      String fields() {
        return "Content-Length: " + BODY.length() + "\r\n";
      }

      @Override
      String body() {
        return BODY;
      }
    },
    CHUNKS {
      @Override
      String fields() {
        return "Transfer-Encoding: chunked\r\n";
      }

      @Override
      String body() {
        int middle = BODY.length() / 2;
        return chunk(BODY.substring(0, middle)) + chunk(BODY.substring(middle)) + LAST_CHUNK;
      }
    },
    /** The response ends when its connection is closed. */
    CLOSE {
      @Override
      String fields() {
        return "";
      }

      @Override
      String body() {
        return BODY;
      }
    };

    abstract String fields();

    abstract String body();

    private static String chunk(String bytes) {
      return Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n";
    }
  }

  /** The connection to the engine on which a response is cut. */
  private enum Use {
    NEW,
    REUSED
  }

  @BeforeEach
  void startEngine() throws IOException {
    engine =
        new ScriptedEngine(
            head -> {
              Matcher id = ID.matcher(head);
              assertTrue(id.find(), head);
              return responses.get(id.group(1));
            });
    engine.resetDelayMillis(RESET_DELAY_MILLIS);
  }

  private void startGateway(RouteKind kind) throws IOException {
    gateway =
        new LoopbackGateway(
            engine.port(),
            LoopbackGateway.route(kind, TIMEOUT_MILLIS),
            RequestLimits.DEFAULT,
            HeldBytesLimiter.Bounds.DEFAULT);
  }

  @AfterEach
  void stop() throws IOException {
    gateway.close();
    engine.close();
  }

  private static String head(RouteKind kind, String version, String id, String fields) {
    String type = kind == RouteKind.STREAMING ? "text/event-stream" : "text/plain";
    return version
        + " 200 OK\r\nX-Id: "
        + id
        + "\r\nContent-Type: "
        + type
        + "\r\nX-Signed: s\r\n"
        + fields
        + "\r\n";
  }

  /** Returns all that a caller receives until the node closes its connection. */
  private String exchange(String id, Response response) throws IOException {
    responses.put(id, response);
    try (Socket caller = new Socket("127.0.0.1", gateway.port())) {
      caller.setSoTimeout(TIMEOUT_MILLIS);
      String request =
          "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\nConnection: close\r\n\r\n";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    } finally {
      responses.remove(id);
    }
  }

  private String nextId() {
    return "r" + ++requests;
  }

  /** Makes an idle connection to the engine if one is to be reused; otherwise there is none. */
  private void prepare(RouteKind kind, Use use) throws Exception {
    if (use == Use.NEW) {
      engine.awaitOpen(0);
    } else {
      requireWholeResponse(kind, Framing.LENGTH);
    }
  }

  /** Returns the body of a response as a caller decodes it. */
  private static String bodyOf(String received) {
    int end = received.indexOf("\r\n\r\n");
    String body = received.substring(end + 4);
    if (!isChunked(received.substring(0, end))) {
      return body;
    }
    StringBuilder decoded = new StringBuilder();
    int at = 0;
    while (true) {
      int lineEnd = body.indexOf("\r\n", at);
      int length = lineEnd < 0 ? 0 : Integer.parseInt(body.substring(at, lineEnd), 16);
      if (length == 0 || lineEnd + 2 + length > body.length()) {
        return decoded.toString();
      }
      decoded.append(body, lineEnd + 2, lineEnd + 2 + length);
      at = lineEnd + 2 + length + 2;
    }
  }

  private static boolean isChunked(String head) {
    return head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked");
  }

  /** Whether a caller takes what it received for a whole successful response. */
  private static boolean isCompleteSuccess(String received) {
    int end = received.indexOf("\r\n\r\n");
    if (!received.startsWith("HTTP/1.1 2") || end < 0) {
      return false;
    }
    String head = received.substring(0, end + 2);
    String body = received.substring(end + 4);
    Matcher length = LENGTH.matcher(head);
    if (length.find()) {
      return body.length() >= Integer.parseInt(length.group(1));
    }
    return !isChunked(head) || body.endsWith(LAST_CHUNK);
  }

  /** Whether the engine received a request. */
  private boolean reachedEngine(String id) {
    return engine.requests().stream().anyMatch(head -> head.contains("X-Id: " + id + "\r\n"));
  }

  /**
   * Guards against a response that is passed on as whole although the engine closed or reset its
   * connection before the end: a success with an empty or short body.
   */
  @ParameterizedTest(name = "{0}, {1} connection, {2}")
  @CsvSource({
    "UNSAFE, NEW, LENGTH",
    "UNSAFE, NEW, CHUNKS",
    "UNSAFE, REUSED, LENGTH",
    "UNSAFE, REUSED, CHUNKS",
    "SAFE, NEW, LENGTH",
    "SAFE, NEW, CHUNKS",
    "SAFE, REUSED, LENGTH",
    "SAFE, REUSED, CHUNKS",
    "STREAMING, NEW, LENGTH",
    "STREAMING, NEW, CHUNKS",
    "STREAMING, REUSED, LENGTH",
    "STREAMING, REUSED, CHUNKS",
  })
  void responseThatIsCutIsNeverPassedOnAsWhole(RouteKind kind, Use use, Framing framing)
      throws Exception {
    startGateway(kind);
    List<String> passedOn = new ArrayList<>();
    int length = (head(kind, "HTTP/1.1", "r100", framing.fields()) + framing.body()).length();
    for (int offset = 0; offset < length; offset++) {
      for (After after : endsAt(offset)) {
        prepare(kind, use);
        String id = nextId();
        String whole = head(kind, "HTTP/1.1", id, framing.fields()) + framing.body();
        String cut = whole.substring(0, Math.min(offset, whole.length() - 1));
        String received = exchange(id, new Response(cut, after));
        assertTrue(reachedEngine(id), received);
        if (isCompleteSuccess(received)) {
          passedOn.add(after + " after " + cut + " gave " + received);
        }
      }
    }
    assertEquals(List.of(), passedOn);
    requireWholeResponse(kind, framing);
    assertTrue(use == Use.NEW || engine.connections() < engine.requests().size(), "no reuse");
  }

  private void requireWholeResponse(RouteKind kind, Framing framing) throws IOException {
    String id = nextId();
    String whole = head(kind, "HTTP/1.1", id, framing.fields()) + framing.body();
    String received = exchange(id, new Response(whole, After.KEEP));
    assertTrue(isCompleteSuccess(received), received);
    assertEquals(BODY, bodyOf(received));
  }

  private static List<After> endsAt(int offset) {
    return offset % RESET_STRIDE == 0 ? List.of(After.CLOSE, After.RESET) : List.of(After.CLOSE);
  }

  /**
   * Guards against a success made of a part of a head whose response would have ended with its
   * connection, and against one made of a part of a body that was cut by a reset.
   */
  @ParameterizedTest
  @EnumSource(
      value = RouteKind.class,
      names = {"UNSAFE", "SAFE", "STREAMING"})
  void responseThatEndsWithItsConnectionIsWholeOnlyAfterItsHeadAndACleanClose(RouteKind kind)
      throws IOException {
    startGateway(kind);
    List<String> wrong = new ArrayList<>();
    for (String version : List.of("HTTP/1.0", "HTTP/1.1")) {
      int headLength = head(kind, version, "r100", "").length();
      for (int offset = 0; offset <= headLength + BODY.length(); offset++) {
        for (After after : endsAt(offset)) {
          String id = nextId();
          String head = head(kind, version, id, "");
          String whole = head + BODY;
          String sent = whole.substring(0, Math.min(offset, whole.length()));
          String received = exchange(id, new Response(sent, after));
          assertTrue(reachedEngine(id), received);
          boolean afterHead = sent.length() >= head.length();
          boolean mayBeWhole = afterHead && after == After.CLOSE;
          if (isCompleteSuccess(received)
              && !(mayBeWhole && sent.equals(head + bodyOf(received)))) {
            wrong.add(after + " after " + sent + " gave " + received);
          }
        }
      }
    }
    assertEquals(List.of(), wrong);
  }

  /** Guards against a success whose length the engine stated in two ways, or not as a number. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "two lengths, Content-Length: 4|Content-Length: 2||body",
    "two lengths in one field, Content-Length: 4~ 2||body",
    "length and chunks, Content-Length: 4|Transfer-Encoding: chunked||4|body|0||",
    "length in a folded line, Content-Length:| 4||body",
    "length with a plus sign, Content-Length: +4||body",
    "length with a minus sign, Content-Length: -4||body",
    "length with a space inside, Content-Length: 4 0||body",
    "cut body, space before the colon of the length, Content-Length : 4||bod",
    "cut body, spaces around the length, Content-Length:  4 ||bod",
    "hexadecimal length, Content-Length: 0x4||body",
    "empty length, Content-Length: ||body",
    "length beyond the body, Content-Length: 5||body",
    "length beyond 64 bits, Content-Length: 18446744073709551620||body",
    "chunk size with a plus sign, Transfer-Encoding: chunked||+4|body|0||",
    "chunk size with a minus sign, Transfer-Encoding: chunked||-4|body|0||",
    "chunk size that is no number, Transfer-Encoding: chunked||zz|body|0||",
    "chunk size with a prefix, Transfer-Encoding: chunked||0x4|body|0||",
    "chunk size cut in the digits, Transfer-Encoding: chunked||4|body|1",
    "chunk larger than stated, Transfer-Encoding: chunked||3|body|0||",
    "chunk without a line end, Transfer-Encoding: chunked||4|body0||",
    "last chunk cut after its zero, Transfer-Encoding: chunked||4|body|0",
    "last chunk cut after its line, Transfer-Encoding: chunked||4|body|0|",
    "trailer cut in its name, Transfer-Encoding: chunked||4|body|0|X-Tr",
    "trailer cut after its line, Transfer-Encoding: chunked||4|body|0|X-Trailer: a|",
    "unknown coding before chunks, Transfer-Encoding: gzip~ chunked||4|body",
  })
  void responseOfAmbiguousLengthIsNotPassedOnAsWhole(String name, String rest) throws Exception {
    startGateway(RouteKind.SAFE);
    String end = rest.replace('~', ',').replace("|", "\r\n");
    for (Use use : Use.values()) {
      for (After after : List.of(After.CLOSE, After.RESET)) {
        prepare(RouteKind.SAFE, use);
        String id = nextId();
        String bytes = "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signed: s\r\n" + end;
        String received = exchange(id, new Response(bytes, after));
        assertTrue(reachedEngine(id), received);
        assertFalse(isCompleteSuccess(received), use + ", " + after + ": " + received);
      }
    }
  }
}
