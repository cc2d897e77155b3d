package org.baykeel.node.http;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
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
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.http.LingeringClose;

/** One request of a caller or operator and the answer to it. Usable from any thread. */
final class HttpExchange {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final String JSON_TYPE = "application/json";
  private static final int MILLIS_PER_SECOND = 1_000;

  /** When to come back after a refusal that waiting can mend. */
  private static final int RETRY_MILLIS = 1_000;

  private final Channel channel;
  private final String method;
  private final String path;
  private final HttpHeaders headers;
  private final byte[] body;
  private final Runnable onFinished;
  private boolean streaming;
  private volatile Runnable goneAction = () -> {};

  HttpExchange(
      Channel channel,
      String method,
      String path,
      HttpHeaders headers,
      byte[] body,
      Runnable onFinished) {
    this.channel = requireNonNull(channel, "channel");
    this.method = requireNonNull(method, "method");
    this.path = requireNonNull(path, "path");
    this.headers = requireNonNull(headers, "headers");
    this.body = requireNonNull(body, "body");
    this.onFinished = requireNonNull(onFinished, "onFinished");
  }

  String method() {
    return method;
  }

  String path() {
    return path;
  }

  byte[] body() {
    return body;
  }

  /** Sets what is done if the caller goes before the answer is whole. */
  void whenCallerGone(Runnable action) {
    goneAction = requireNonNull(action, "action");
  }

  /** The caller has gone. */
  void callerGone() {
    goneAction.run();
  }

  /** A header's value, or empty. */
  String header(String name) {
    String value = headers.get(name);
    return value == null ? "" : value;
  }

  /** Answers with an object as JSON. */
  void json(int status, Object value) {
    try {
      respond(status, JSON_TYPE, MAPPER.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an answer is plain data", e);
    }
  }

  /** Answers with a whole body. */
  void respond(int status, String contentType, byte[] content) {
    send(response(status, contentType, content));
  }

  /** Answers with an error; inside a stream that has begun, with an error event. */
  void error(ErrorKind kind, String detail, int retryAfterMillis) {
    ErrorBody errorBody = ErrorBody.of(kind, detail, retryAfterMillis);
    if (streaming) {
      event(errorBody);
      abortStream();
      return;
    }
    FullHttpResponse response = errorResponse(kind, errorBody);
    if (retryAfterMillis > 0) {
      int seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    send(response);
  }

  /** Answers a request that can't be read whole with an error, and ends the connection. */
  void errorAndClose(ErrorKind kind) {
    refuseUnread(channel, kind);
    onFinished.run();
  }

  /** Refuses a request whose rest may still be on its way, and ends the connection. */
  static void refuseUnread(Channel channel, ErrorKind kind) {
    FullHttpResponse response = errorResponse(kind, ErrorBody.of(kind, kind.summary(), 0));
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.write(response);
    LingeringClose.begin(channel);
  }

  private static FullHttpResponse errorResponse(ErrorKind kind, ErrorBody errorBody) {
    FullHttpResponse response = response(kind.httpStatus(), JSON_TYPE, bytes(errorBody));
    response.headers().set("Baykeel-Execution", ErrorBody.lowerCase(kind.execution()));
    return response;
  }

  /** Answers with an exception's kind. */
  void error(BaykeelException failure) {
    boolean delayed = failure.kind().retryAdvice() != ErrorKind.RetryAdvice.NEVER;
    error(failure.kind(), failure.getMessage(), delayed ? RETRY_MILLIS : 0);
  }

  private static FullHttpResponse response(int status, String contentType, byte[] content) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(content));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    return response;
  }

  private void send(FullHttpResponse response) {
    channel.writeAndFlush(response);
    onFinished.run();
  }

  /** Begins a stream of server-sent events, unless it has begun. */
  void beginStream() {
    if (streaming) {
      return;
    }
    streaming = true;
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
    head.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
    head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    channel.write(head);
  }

  /** Sends one event with an object as JSON. */
  void event(Object value) {
    event(new String(bytes(value), StandardCharsets.UTF_8));
  }

  /** Sends one event. */
  void event(String data) {
    byte[] line = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    ByteBuf buffer = Unpooled.wrappedBuffer(line);
    channel.writeAndFlush(new DefaultHttpContent(buffer));
  }

  /** Ends the stream as whole. */
  void endStream() {
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    onFinished.run();
  }

  /** Ends the stream so that the caller sees that it is not whole. */
  private void abortStream() {
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> channel.close());
    onFinished.run();
  }

  private static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an answer is plain data", e);
    }
  }
}
