package org.baykeel.gateway.buffering;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Limits the bytes of engines' responses that this node holds until they are complete. A response
 * beyond its own limit is given up; beyond the limit of its engine, or of the node, the largest
 * response is given up, which may be another one. Used only from the event loop.
 */
public final class ResponseBytesLimiter {
  private static final Comparator<Response> SMALLEST_FIRST =
      Comparator.comparingLong(response -> response.bytes);

  private final Bounds bounds;
  private final Set<Response> open = new LinkedHashSet<>();
  private final Map<Object, Long> bytesByEngine = new HashMap<>();
  private long totalBytes;

  /**
   * The limits.
   *
   * @param responseBytes the limit of one response, in bytes
   * @param engineBytes the limit of all responses of one engine, in bytes
   * @param nodeBytes the limit of all responses, in bytes
   */
  public record Bounds(long responseBytes, long engineBytes, long nodeBytes) {
    private static final long DEFAULT_RESPONSE_BYTES = 8 << 20;
    private static final long DEFAULT_ENGINE_BYTES = 12 << 20;
    private static final long DEFAULT_NODE_BYTES = 20 << 20;

    /** The limits of a node without other settings. */
    public static final Bounds DEFAULT =
        new Bounds(DEFAULT_RESPONSE_BYTES, DEFAULT_ENGINE_BYTES, DEFAULT_NODE_BYTES);

    /** Checks the limits. */
    public Bounds {
      if (responseBytes <= 0 || engineBytes < responseBytes || nodeBytes < engineBytes) {
        throw new IllegalArgumentException(
            "the limit of a response must be positive, at most that of an engine, and that at"
                + " most the limit of the node");
      }
    }
  }

  /** Is notified that a response must be given up. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called at most once, possibly while another response grows.
     *
     * @param detail the limit that was exceeded
     */
    void onLimitExceeded(String detail);
  }

  /** The bytes that are held of one response. */
  public final class Response {
    private final Object engine;
    private final Listener listener;
    private long bytes;
    private boolean closed;

    private Response(Object engine, Listener listener) {
      this.engine = engine;
      this.listener = listener;
    }

    /** Records how many bytes are held now. */
    public void hold(long nowHeld) {
      if (!closed) {
        change(nowHeld - bytes);
        enforceLimits(this);
      }
    }

    private void change(long difference) {
      bytes += difference;
      totalBytes += difference;
      bytesByEngine.merge(
          engine, difference, (one, other) -> one + other == 0 ? null : one + other);
    }

    /** Records that nothing is held any more; idempotent. */
    public void close() {
      if (!closed) {
        change(-bytes);
        closed = true;
        open.remove(this);
      }
    }

    private void giveUp(String detail) {
      close();
      listener.onLimitExceeded(detail);
    }
  }

  /** Creates a limiter that holds nothing. */
  public ResponseBytesLimiter(Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Begins a response.
   *
   * @param engine identifies the engine among all engines
   */
  public Response open(Object engine, Listener listener) {
    Response response = new Response(engine, listener);
    open.add(response);
    return response;
  }

  /** Returns the limit of one response, in bytes. */
  public long responseBytes() {
    return bounds.responseBytes();
  }

  /** Returns the bytes that are held of all responses. */
  public long totalBytes() {
    return totalBytes;
  }

  private void enforceLimits(Response grown) {
    if (grown.bytes > bounds.responseBytes()) {
      grown.giveUp("response exceeds " + bounds.responseBytes() + " bytes");
    }
    while (bytesByEngine.getOrDefault(grown.engine, 0L) > bounds.engineBytes()) {
      largest(grown.engine).giveUp("engine's responses exceed " + bounds.engineBytes() + " bytes");
    }
    while (totalBytes > bounds.nodeBytes()) {
      largest(null).giveUp("all responses exceed " + bounds.nodeBytes() + " bytes");
    }
  }

  private Response largest(Object engine) {
    return open.stream()
        .filter(response -> engine == null || response.engine.equals(engine))
        .max(SMALLEST_FIRST)
        .orElseThrow();
  }
}
