package org.baykeel.gateway.buffering;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Limits the bytes that this node holds for callers that read more slowly than engines respond, by
 * pausing the sources of responses.
 *
 * <p>A call whose held bytes reach the limit per call is paused until its caller has read half of
 * that. While the bytes of all calls are at the limit of the node, each addition pauses one more
 * call: the one with the most held bytes or, among equals, the one whose caller has read nothing
 * for longest. From then on a paused call continues only once its caller has read all that is held
 * for it, until the node holds half of its limit; then the limit per call applies alone again.
 *
 * <p>Held bytes stay deliverable. A caller is abandoned only if it has read nothing for the time
 * limit, its call is at the limit per call, and the node is at its limit.
 */
public final class HeldBytesLimiter {
  private static final Comparator<CallerFlow> MOST_HELD_FIRST =
      Comparator.comparingLong(CallerFlow::held)
          .reversed()
          .thenComparingLong(CallerFlow::unreadSinceNanos);

  private final Bounds bounds;
  private final EventLoop eventLoop;
  private final Set<CallerFlow> holding = new LinkedHashSet<>();
  private long totalBytes;
  private boolean nodeAtLimit;

  /**
   * The limits.
   *
   * @param callBytes the limit for one call, in bytes
   * @param nodeBytes the limit for all calls together, in bytes
   * @param unreadMillis the time without a read, in milliseconds, after which a caller may be
   *     abandoned
   */
  public record Bounds(long callBytes, long nodeBytes, long unreadMillis) {
    private static final long DEFAULT_CALL_BYTES = 256 << 10;
    private static final long DEFAULT_NODE_BYTES = 8 << 20;

    /** Longer than callers wait for a response. */
    private static final long DEFAULT_UNREAD_MILLIS = 10_000;

    /** The limits of a node without other settings. */
    public static final Bounds DEFAULT =
        new Bounds(DEFAULT_CALL_BYTES, DEFAULT_NODE_BYTES, DEFAULT_UNREAD_MILLIS);

    /** Checks the limits. */
    public Bounds {
      if (callBytes <= 0 || nodeBytes < callBytes || unreadMillis <= 0) {
        throw new IllegalArgumentException(
            "the limit per call must be positive and at most the limit of the node,"
                + " and the time limit must be positive");
      }
    }

    /** Returns the held bytes at which a paused call continues. */
    long callResumeBytes() {
      return callBytes / 2;
    }

    /** Returns the held bytes at which the node is no longer at its limit. */
    long nodeResumeBytes() {
      return nodeBytes / 2;
    }
  }

  /**
   * Creates a limiter that holds nothing.
   *
   * @param eventLoop the clock
   */
  public HeldBytesLimiter(Bounds bounds, EventLoop eventLoop) {
    this.bounds = bounds;
    this.eventLoop = eventLoop;
  }

  /** Creates the flow of a new caller. */
  public CallerFlow open(CallerFlow.SlowCallerListener listener) {
    return new CallerFlow(this, listener);
  }

  /** Returns the bytes held for all callers. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Returns the number of calls whose sources are paused. */
  public long pausedCalls() {
    return holding.stream().filter(CallerFlow::pausesSource).count();
  }

  long nanoTime() {
    return eventLoop.nanoTime();
  }

  void onHeld(CallerFlow flow, long bytes) {
    totalBytes += bytes;
    holding.add(flow);
    if (flow.held() >= bounds.callBytes()) {
      flow.pause();
    }
    if (totalBytes >= bounds.nodeBytes()) {
      nodeAtLimit = true;
      pauseMostHeld();
    }
  }

  private void pauseMostHeld() {
    holding.stream()
        .filter(flow -> flow.hasSource() && !flow.paused())
        .min(MOST_HELD_FIRST)
        .ifPresent(CallerFlow::pause);
  }

  void onReleased(CallerFlow flow, long bytes) {
    totalBytes -= bytes;
    if (flow.held() == 0) {
      holding.remove(flow);
    }
    if (nodeAtLimit && totalBytes <= bounds.nodeResumeBytes()) {
      nodeAtLimit = false;
      List.copyOf(holding).forEach(this::resumeIfDrained);
    }
    resumeIfDrained(flow);
  }

  private void resumeIfDrained(CallerFlow flow) {
    if (flow.held() <= (nodeAtLimit ? 0 : bounds.callResumeBytes())) {
      flow.resume();
    }
  }

  /** Abandons callers that read nothing, as long as the node is at its limit. */
  public void sweep() {
    if (totalBytes < bounds.nodeBytes()) {
      return;
    }
    List<CallerFlow> slowest = new ArrayList<>(holding);
    slowest.sort(MOST_HELD_FIRST);
    for (CallerFlow flow : slowest) {
      long unreadMillis = (nanoTime() - flow.unreadSinceNanos()) / 1_000_000;
      if (totalBytes >= bounds.nodeBytes()
          && flow.held() >= bounds.callBytes()
          && unreadMillis >= bounds.unreadMillis()) {
        flow.abandon(totalBytes, unreadMillis);
      }
    }
  }
}
