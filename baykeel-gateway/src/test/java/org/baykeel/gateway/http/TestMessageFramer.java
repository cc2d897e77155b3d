package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.baykeel.gateway.buffering.RequestBytesLimiter;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against messages that the decoder reads otherwise than other implementations: what passes
 * a framer, whole and byte by byte.
 */
class TestMessageFramer {
  private static final int MAX_HEAD_BYTES = 1_000;
  private static final int RECEIVE_BUFFER_BYTES = 1_000;

  private Throwable violation;

  private EmbeddedChannel channel(MessageFramer framer) {
    violation = null;
    return new EmbeddedChannel(
        framer,
        new ChannelInboundHandlerAdapter() {
          @Override
          public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            violation = violation == null ? cause : violation;
          }
        });
  }

  private static RequestFramer requests() {
    RequestBytesLimiter limiter =
        new RequestBytesLimiter(RequestBytesLimiter.Bounds.DEFAULT, new TestingEventLoop());
    return new RequestFramer(MAX_HEAD_BYTES, limiter.open(() -> {}), RECEIVE_BUFFER_BYTES);
  }

  private static String lines(String text) {
    return text.replace("|", "\r\n").replace("\\n", "\n").replace("\\0", "\0");
  }

  private static String read(EmbeddedChannel channel) {
    StringBuilder passed = new StringBuilder();
    ByteBuf next;
    while ((next = channel.readInbound()) != null) {
      passed.append(next.toString(StandardCharsets.ISO_8859_1));
      next.release();
    }
    return passed.toString();
  }

  private static void write(EmbeddedChannel channel, String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
  }

  private String passedWhole(MessageFramer framer, String bytes) {
    EmbeddedChannel channel = channel(framer);
    write(channel, bytes);
    return read(channel);
  }

  private String passedByteByByte(MessageFramer framer, String bytes) {
    EmbeddedChannel channel = channel(framer);
    for (int i = 0; i < bytes.length(); i++) {
      write(channel, bytes.substring(i, i + 1));
    }
    return read(channel);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /p/x HTTP/1.1|Host: h||",
        "GET /p/x HTTP/1.0||",
        "POST * HTTP/1.1|Content-Length: 2||ab",
        "POST /p HTTP/1.1|content-length:2 ||ab",
        "POST /p HTTP/1.1|Transfer-Encoding: Chunked||2|ab|A|0123456789|0||",
        "GET /p HTTP/1.1|X: \t a\u00e9 b\t|Empty:||",
      })
  void validRequestIsPassedOnUnchanged(String text) {
    String bytes = lines(text);
    assertEquals(bytes, passedWhole(requests(), bytes));
    assertNull(violation);
    assertEquals(bytes, passedByteByByte(requests(), bytes));
    assertNull(violation);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "nonsense||",
        "GET  /p HTTP/1.1||",
        "GET /p  HTTP/1.1||",
        "GET /p HTTP/1.1 ||",
        "GET /p HTTP/2.0||",
        "GET /p HTTP/1.2||",
        "GET /p http/1.1||",
        "GET /p||",
        "G(T /p HTTP/1.1||",
        "GET /p\u00e9 HTTP/1.1||",
        " GET /p HTTP/1.1||",
        "GET /p HTTP/1.1|Host : h||",
        "GET /p HTTP/1.1|Host\t: h||",
        "GET /p HTTP/1.1| Host: h||",
        "GET /p HTTP/1.1|X Note: h||",
        "GET /p HTTP/1.1|X\\0: h||",
        "GET /p HTTP/1.1|X\u00e9: h||",
        "GET /p HTTP/1.1|: h||",
        "GET /p HTTP/1.1|no colon||",
        "GET /p HTTP/1.1|X: a| folded||",
        "GET /p HTTP/1.1|X: a\\0b||",
        "GET /p HTTP/1.1|X: a\u007fb||",
        "GET /p HTTP/1.1\\nHost: h||",
        "GET /p HTTP/1.1|Host: h\\n||",
        "POST /p HTTP/1.1|Content-Length: +4||abcd",
        "POST /p HTTP/1.1|Content-Length: -4||abcd",
        "POST /p HTTP/1.1|Content-Length: 0x4||abcd",
        "POST /p HTTP/1.1|Content-Length: 4,4||abcd",
        "POST /p HTTP/1.1|Content-Length:||abcd",
        "POST /p HTTP/1.1|Content-Length: 4|Content-Length: 4||abcd",
        "POST /p HTTP/1.1|Content-Length: 9999999999999999999||abcd",
        "POST /p HTTP/1.1|Content-Length: 4|Transfer-Encoding: chunked||0||",
        "POST /p HTTP/1.1|Transfer-Encoding: chunked, chunked||0||",
        "POST /p HTTP/1.1|Transfer-Encoding: chunked|Transfer-Encoding: chunked||0||",
        "POST /p HTTP/1.1|Transfer-Encoding: xchunked||0||",
        "POST /p HTTP/1.1|Transfer-Encoding: identity||",
        "POST /p HTTP/1.0|Transfer-Encoding: chunked||0||",
      })
  void requestThatDoesNotObeyTheGrammarIsNotPassedOn(String text) {
    assertEquals("", passedWhole(requests(), lines(text)));
    assertNotNull(violation);
    assertEquals("", passedByteByByte(requests(), lines(text)));
    assertNotNull(violation);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "zz|",
        "|",
        "-1|",
        "0x1|",
        "1 |a|",
        " 1|a|",
        "123456789|",
        "80000000|",
        "1\\na|",
        "1|ab|",
        "1|a\\n",
        "1;a\\n"
      })
  void malformedChunkIsNotPassedOn(String text) {
    String head = lines("POST /p HTTP/1.1|Transfer-Encoding: chunked||");
    passedWhole(requests(), head + lines(text));
    assertNotNull(violation);
    passedByteByByte(requests(), head + lines(text));
    assertNotNull(violation);
  }

  @Test
  void trailersAndChunkExtensionsAreDropped() {
    String bytes = lines("POST /p HTTP/1.1|Transfer-Encoding: chunked||2;x=y|ab|0;z|T: u|V: w||");
    String passed = lines("POST /p HTTP/1.1|Transfer-Encoding: chunked||2|ab|0||");
    assertEquals(passed, passedWhole(requests(), bytes));
    assertEquals(passed, passedByteByByte(requests(), bytes));
    assertNull(violation);
  }

  @ParameterizedTest
  @ValueSource(strings = {"T: u| folded||", "T : u||", "T||", "T: u\\n"})
  void malformedTrailersAreRefused(String trailers) {
    passedWhole(
        requests(), lines("POST /p HTTP/1.1|Transfer-Encoding: chunked||0|") + lines(trailers));
    assertNotNull(violation);
  }

  private MalformedMessageException.Kind violationKind() {
    return ((MalformedMessageException) violation).kind();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /p HTTP/1.1|",
        "POST /p HTTP/1.1|Transfer-Encoding: chunked||0|",
      })
  void fieldsBeyondTheLimitAreRefused(String start) {
    passedWhole(requests(), lines(start) + "a:\r\n".repeat(MAX_HEAD_BYTES / 4 + 1));
    assertEquals(MalformedMessageException.Kind.HEAD_TOO_LARGE, violationKind());
    passedByteByByte(requests(), lines(start) + "a:\r\n".repeat(MAX_HEAD_BYTES / 4 + 1));
    assertEquals(MalformedMessageException.Kind.HEAD_TOO_LARGE, violationKind());
  }

  @Test
  void longLineIsRefusedBeforeItsEnd() {
    passedWhole(requests(), "GET /" + "a".repeat(MAX_HEAD_BYTES));
    assertEquals(MalformedMessageException.Kind.HEAD_TOO_LARGE, violationKind());
  }

  @Test
  void emptyLinesBeforeARequestAreDroppedUpToTheLimit() {
    String request = lines("GET /p HTTP/1.1||");
    assertEquals(request, passedWhole(requests(), "\r\n\r\n" + request));
    assertNull(violation);
    passedWhole(requests(), "\r\n".repeat(MAX_HEAD_BYTES));
    assertEquals(MalformedMessageException.Kind.HEAD_TOO_LARGE, violationKind());
  }

  @Test
  void manyTinyChunksAreRefused() {
    String head = lines("POST /p HTTP/1.1|Transfer-Encoding: chunked||");
    passedWhole(requests(), head + "1\r\na\r\n".repeat(20_000));
    assertEquals(MalformedMessageException.Kind.FRAMING_TOO_LARGE, violationKind());
    passedWhole(requests(), head + "8\r\nabcdefgh\r\n".repeat(20_000));
    assertNull(violation);
  }

  @Test
  void nextRequestWaitsUntilItIsRead() {
    RequestFramer framer = requests();
    EmbeddedChannel channel = channel(framer);
    String first = lines("POST /1 HTTP/1.1|Content-Length: 2||ab");
    String second = lines("GET /2 HTTP/1.1||");
    write(channel, first + second + "GET /3");
    assertEquals(first, read(channel));
    framer.next();
    channel.runPendingTasks();
    assertEquals(second, read(channel));
    framer.next();
    channel.runPendingTasks();
    write(channel, lines(" HTTP/1.1||"));
    assertEquals(lines("GET /3 HTTP/1.1||"), read(channel));
    assertNull(violation);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK|Content-Length: 2||ab",
        "HTTP/1.1 200|Content-Length: 0||",
        "HTTP/1.0 404 Not \u00e9 Found||body to the close",
        "HTTP/1.1 204 No Content||HTTP/1.1 200 OK|Content-Length: 0||",
        "HTTP/1.1 304 Not Modified|Content-Length: 7||HTTP/1.1 200 OK|Content-Length: 0||",
        "HTTP/1.1 100 Continue||HTTP/1.1 200 OK|Transfer-Encoding: chunked||1|a|0||",
      })
  void validResponseIsPassedOnUnchanged(String text) {
    String bytes = lines(text);
    assertEquals(bytes, passedWhole(new ResponseFramer(), bytes));
    assertNull(violation);
    assertEquals(bytes, passedByteByByte(new ResponseFramer(), bytes));
    assertNull(violation);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 0200 OK||",
        "HTTP/1.1 +200 OK||",
        "HTTP/1.1 20 OK||",
        "HTTP/1.1 2000 OK||",
        "HTTP/1.1 000 OK||",
        "HTTP/1.1 099 OK||",
        "HTTP/1.1 600 OK||",
        "HTTP/1.1 999 OK||",
        "HTTP/1.1  200 OK||",
        "HTTP/1.1 200OK||",
        "HTTP/2.0 200 OK||",
        "HTTP/1.1 200 O\\0K||",
        "HTTP/1.1||",
        "|HTTP/1.1 200 OK||",
        "HTTP/1.1 200 OK|X Note: y||",
        "HTTP/1.1 200 OK|Content-Length x: 2|Content-Length: 4||abcd",
        "HTTP/1.1 200 OK|Content-Length : 2||ab",
        "HTTP/1.1 200 OK|Content-Length\t: 2||ab",
        "HTTP/1.1 200 OK|Transfer-Encoding: xchunked||",
        "HTTP/1.1 200 OK|X: a| b||",
        "HTTP/1.1 200 OK|Transfer-Encoding: identity||",
      })
  void responseThatDoesNotObeyTheGrammarIsNotPassedOn(String text) {
    assertEquals("", passedWhole(new ResponseFramer(), lines(text)));
    assertNotNull(violation);
    assertEquals("", passedByteByByte(new ResponseFramer(), lines(text)));
    assertNotNull(violation);
  }

  @Test
  void responseWithTooManyFieldsIsNotPassedOn() {
    String bytes = lines("HTTP/1.1 200 OK|") + "a:\r\n".repeat(1_000) + "\r\n";
    assertEquals("", passedWhole(new ResponseFramer(), bytes));
    assertEquals(MalformedMessageException.Kind.HEAD_TOO_LARGE, violationKind());
  }
}
