package org.baykeel.node.transport;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;
import org.baykeel.core.message.Payload;

/** Collects an answer that is short enough to be held whole. */
public final class WholeBody implements HttpCallListener {
  /**
   * A whole answer.
   *
   * @param status the HTTP status; zero if there was no whole answer
   * @param requestSent false if it is proved that no byte of the request has left
   */
  public record Answer(int status, HttpHeaders headers, Payload body, boolean requestSent) {
    /** True for a 2xx status. */
    public boolean isSuccess() {
      return status >= 200 && status < 300;
    }
  }

  private final Consumer<Answer> callback;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private HttpHeaders headers;

  public WholeBody(Consumer<Answer> callback) {
    this.callback = requireNonNull(callback, "callback");
  }

  @Override
  public void onHead(int newStatus, HttpHeaders newHeaders) {
    status = newStatus;
    headers = newHeaders;
  }

  @Override
  public void onContent(ByteBuf content) {
    byte[] bytes = new byte[content.readableBytes()];
    content.readBytes(bytes);
    body.writeBytes(bytes);
  }

  @Override
  public void onComplete() {
    callback.accept(new Answer(status, headers, Payload.wrap(body.toByteArray()), true));
  }

  @Override
  public void onFailure(boolean requestSent) {
    callback.accept(new Answer(0, headers, Payload.EMPTY, requestSent));
  }
}
