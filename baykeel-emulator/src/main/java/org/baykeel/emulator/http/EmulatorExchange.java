package org.baykeel.emulator.http;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One request to a stand-in and the answer to it. */
public final class EmulatorExchange {
  private final Channel channel;
  private final String method;
  private final String path;
  private final HttpHeaders headers;
  private final byte[] body;

  EmulatorExchange(Channel channel, String method, String path, HttpHeaders headers, byte[] body) {
    this.channel = requireNonNull(channel, "channel");
    this.method = method;
    this.path = path;
    this.headers = headers;
    this.body = body;
  }

  /** The method. */
  public String method() {
    return method;
  }

  /** The path with query. */
  public String path() {
    return path;
  }

  /** The body. */
  public byte[] body() {
    return body;
  }

  /** A header's value, or empty. */
  public String header(String name) {
    String value = headers.get(name);
    return value == null ? "" : value;
  }

  /** Runs an action when the other side closes the connection. */
  public void whenClosed(Runnable action) {
    channel.closeFuture().addListener(closed -> action.run());
  }

  /** Closes the connection without an answer. */
  public void drop() {
    channel.close();
  }

  /** Answers with a text. */
  public void respond(int status, String text) {
    respond(status, text.getBytes(StandardCharsets.UTF_8), Map.of());
  }

  /** Answers with a body and extra headers. */
  public void respond(int status, byte[] content, Map<String, String> extraHeaders) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(content));
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    extraHeaders.forEach(response.headers()::set);
    channel.writeAndFlush(response);
  }

  /** Begins a stream of server-sent events. */
  public void beginStream() {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
    head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    channel.writeAndFlush(head);
  }

  /** Sends one event. */
  public void event(String data) {
    byte[] line = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(line)));
  }

  /** Ends the stream. */
  public void endStream() {
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }
}
