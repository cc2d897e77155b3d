package org.baykeel.gateway.buffering;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Limits the memory that this node uses for the requests of all callers, from their first byte to
 * the end of their calls. What is held is counted by its cost in memory, which can be a multiple of
 * the bytes on the wire.
 *
 * <p>Beyond the limit, incomplete requests are given up, those with the greatest product of memory
 * and age first. Large requests together have a lower limit, so that small ones are still received
 * while large ones use all of theirs. A complete request is never given up. Used only from the
 * event loop.
 */
public final class RequestBytesLimiter {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Added to the age, so that the memory alone decides between requests that have just begun. */
  private static final long MIN_AGE_MILLIS = 100;

  private final Bounds bounds;
  private final EventLoop eventLoop;
  private final Set<Request> holding = new LinkedHashSet<>();
  private long totalBytes;
  private long largeBytes;
  private long givenUp;

  /**
   * The limits.
   *
   * @param nodeBytes the limit for all requests, in bytes of memory
   */
  public record Bounds(long nodeBytes) {
    /** A request beyond this is a large one. */
    private static final long SMALL_REQUEST_BYTES = 64 << 10;

    /** The part of the heap for requests is 1 / HEAP_DIVISOR. */
    private static final int HEAP_DIVISOR = 4;

    private static final int LARGE_NUMERATOR = 3;
    private static final int LARGE_DENOMINATOR = 4;

    /** The limits of a node without other settings, which follow from its heap. */
    public static final Bounds DEFAULT =
        new Bounds(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);

    /** Checks the limits. */
    public Bounds {
      if (nodeBytes <= 0) {
        throw new IllegalArgumentException("the limit must be positive");
      }
    }

    /** The limit for all large requests, in bytes of memory. */
    long allLargeBytes() {
      return nodeBytes / LARGE_DENOMINATOR * LARGE_NUMERATOR;
    }
  }

  /** Is notified that a request must be given up. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called when what is held of an incomplete request, or behind a request in progress, must be
     * released. It is no longer counted.
     */
    void onLimitExceeded();
  }

  /** Counts what is held for one caller's connection, which carries one request at a time. */
  public final class Request {
    private final Listener listener;
    private long unreadBytes;
    private long headBytes;
    private long bodyBytes;
    private long sinceNanos;
    private boolean complete;

    private Request(Listener listener) {
      this.listener = listener;
    }

    /** Records the bytes that are held undecoded now. */
    public void holdUnread(long bytes) {
      change(bytes, headBytes, bodyBytes);
    }

    /** Records the memory of the decoded head. */
    public void holdHead(long bytes) {
      change(unreadBytes, bytes, bodyBytes);
    }

    /** Records the memory of the body so far. */
    public void holdBody(long bytes) {
      change(unreadBytes, headBytes, bytes);
    }

    /** Records that the request was received, so that it is not given up any more. */
    public void complete() {
      complete = true;
    }

    /** Records that the request has ended; bytes behind it may be held still. */
    public void end() {
      complete = false;
      change(unreadBytes, 0, 0);
      sinceNanos = eventLoop.nanoTime();
    }

    /** Records that nothing is held any more. */
    public void close() {
      change(0, 0, 0);
    }

    private long total() {
      return unreadBytes + headBytes + bodyBytes;
    }

    private boolean isLarge() {
      return total() > Bounds.SMALL_REQUEST_BYTES;
    }

    /** The memory that is released if the request is given up. */
    private long releasable() {
      return complete ? unreadBytes : total();
    }

    private double cost(long nowNanos) {
      long age = (nowNanos - sinceNanos) / NANOS_PER_MILLI + MIN_AGE_MILLIS;
      return (double) releasable() * age;
    }

    private void change(long unread, long head, long body) {
      long before = total();
      count(-1);
      unreadBytes = unread;
      headBytes = head;
      bodyBytes = body;
      count(1);
      if (before == 0 && total() > 0) {
        sinceNanos = eventLoop.nanoTime();
        holding.add(this);
      } else if (total() == 0) {
        holding.remove(this);
      }
      if (total() > before) {
        enforceLimits();
      }
    }

    private void count(int sign) {
      totalBytes += sign * total();
      largeBytes += isLarge() ? sign * total() : 0;
    }

    private void giveUp() {
      givenUp++;
      change(0, complete ? headBytes : 0, complete ? bodyBytes : 0);
      listener.onLimitExceeded();
    }
  }

  /**
   * Creates a limiter that holds nothing.
   *
   * @param eventLoop the clock
   */
  public RequestBytesLimiter(Bounds bounds, EventLoop eventLoop) {
    this.bounds = bounds;
    this.eventLoop = eventLoop;
  }

  /** Creates the account of a new connection. */
  public Request open(Listener listener) {
    return new Request(listener);
  }

  /** Whether a request of some bytes can be received without another one being given up. */
  public boolean hasRoomFor(long bytes) {
    boolean large = bytes > Bounds.SMALL_REQUEST_BYTES;
    return totalBytes + bytes <= bounds.nodeBytes()
        && (!large || largeBytes + bytes <= bounds.allLargeBytes());
  }

  /** Returns the memory that is held, in bytes. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Returns the number of requests that were given up. */
  public long givenUp() {
    return givenUp;
  }

  private void enforceLimits() {
    while (largeBytes > bounds.allLargeBytes() && giveUpCostliest(Request::isLarge)) {
      // Each call releases the memory of one request.
    }
    while (totalBytes > bounds.nodeBytes() && giveUpCostliest(request -> true)) {
      // As above.
    }
  }

  /** Gives the costliest request up, and returns whether there was one that could be. */
  private boolean giveUpCostliest(Predicate<Request> candidates) {
    long now = eventLoop.nanoTime();
    Request costliest = null;
    for (Request request : holding) {
      if (request.releasable() > 0
          && candidates.test(request)
          && (costliest == null || request.cost(now) > costliest.cost(now))) {
        costliest = request;
      }
    }
    if (costliest != null) {
      costliest.giveUp();
    }
    return costliest != null;
  }
}
