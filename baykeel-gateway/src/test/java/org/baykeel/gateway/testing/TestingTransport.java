package org.baykeel.gateway.testing;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.call.EngineRequest;
import org.baykeel.gateway.call.EngineTransport;
import org.baykeel.gateway.call.ResponseHead;
import org.baykeel.gateway.call.ResponseTraits;
import org.baykeel.gateway.directory.Engine;

/** Records the requests to engines and lets the test respond. */
public final class TestingTransport implements EngineTransport {
  private final List<Sent> sent = new ArrayList<>();

  /** One request at one engine. */
  public static final class Sent implements Exchange {
    private final Engine engine;
    private final EngineRequest request;

    /** The body as it was sent, since the call releases its parts. */
    private final String body;

    private final Listener listener;
    private boolean cancelled;
    private boolean paused;
    private boolean written = true;

    Sent(Engine engine, EngineRequest request, Listener listener) {
      this.engine = engine;
      this.request = request;
      this.body = EngineBodies.text(request.body());
      this.listener = listener;
    }

    public String engineId() {
      return engine.record().id();
    }

    public EngineRequest request() {
      return request;
    }

    public String body() {
      return body;
    }

    public boolean cancelled() {
      return cancelled;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }

    @Override
    public boolean isRequestWritten() {
      return written;
    }

    /** The engine has not read the whole body. */
    public Sent bodyUnread() {
      written = false;
      return this;
    }

    @Override
    public void pauseReading() {
      paused = true;
    }

    @Override
    public void resumeReading() {
      paused = false;
    }

    /** Returns whether reading of the response is paused. */
    public boolean paused() {
      return paused;
    }

    /** Responds with a head. */
    public Sent head(int status, boolean signed, boolean eventStream, boolean notExecuted) {
      ResponseTraits traits =
          new ResponseTraits("r", notExecuted, signed ? "s" : null, eventStream);
      listener.onHead(new ResponseHead(status, new DefaultHttpHeaders(), traits));
      return this;
    }

    /** Starts a signed stream. */
    public Sent stream() {
      return head(200, true, true, false);
    }

    /** Sends a complete event. */
    public Sent event(int id) {
      return bytes("id: " + id + "\ndata: d" + id + "\n\n");
    }

    public Sent bytes(String text) {
      listener.onBody(text.getBytes(StandardCharsets.UTF_8));
      return this;
    }

    public void complete() {
      listener.onComplete();
    }

    public void breakConnection() {
      listener.onFailure(Failure.BROKEN, "reset");
    }

    public void loseConnection() {
      listener.onFailure(Failure.CONNECTION_LOST, "reset");
    }

    public void failUnsent() {
      listener.onFailure(Failure.NOT_SENT, "refused");
    }

    /** Responds that the engine did not run the request. */
    public void notExecuted() {
      head(503, false, false, true);
    }
  }

  @Override
  public Exchange send(Engine engine, EngineRequest request, Listener listener) {
    Sent exchange = new Sent(engine, request, listener);
    sent.add(exchange);
    return exchange;
  }

  public int count() {
    return sent.size();
  }

  public Sent sent(int index) {
    return sent.get(index);
  }

  public Sent last() {
    return sent.get(sent.size() - 1);
  }
}
