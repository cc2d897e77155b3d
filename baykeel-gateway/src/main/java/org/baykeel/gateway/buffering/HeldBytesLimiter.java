package org.baykeel.gateway.buffering;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * What this node holds for callers that read more slowly than engines answer, and which answers are
 * read no further because of it.
 *
 * <p>A call that holds its bound is paused until its caller has read half of it. While the node
 * holds its bound, each call that would add to it has the one paused that holds most, of equals the
 * one whose caller has read nothing for longest; such a call goes on once its caller has read all
 * that is held for it, or once the node holds half of its bound. What is held already stays
 * deliverable; only a caller that has read nothing for long, and holds its bound while the node
 * does, is given up.
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
   * How much may be held.
   *
   * @param callBytes for one call, in bytes
   * @param nodeBytes for all calls together, in bytes
   * @param unreadMillis for how long a caller may read nothing before it may be given up
   */
  public record Bounds(long callBytes, long nodeBytes, long unreadMillis) {
    private static final long DEFAULT_CALL_BYTES = 256 << 10;
    private static final long DEFAULT_NODE_BYTES = 8 << 20;

    /** Longer than callers wait for an answer. */
    private static final long DEFAULT_UNREAD_MILLIS = 10_000;

    /** For nodes of which nothing else is said. */
    public static final Bounds DEFAULT =
        new Bounds(DEFAULT_CALL_BYTES, DEFAULT_NODE_BYTES, DEFAULT_UNREAD_MILLIS);

    /** Checks the bounds. */
    public Bounds {
      if (callBytes <= 0 || nodeBytes < callBytes || unreadMillis <= 0) {
        throw new IllegalArgumentException("a call's bound must be positive and within the node's");
      }
    }

    /** What is held for a call when it goes on. */
    long callResumeBytes() {
      return callBytes / 2;
    }

    /** What the node holds when its bound no longer counts as met. */
    long nodeResumeBytes() {
      return nodeBytes / 2;
    }
  }

  /**
   * Creates a count of nothing.
   *
   * @param eventLoop the clock
   */
  public HeldBytesLimiter(Bounds bounds, EventLoop eventLoop) {
    this.bounds = bounds;
    this.eventLoop = eventLoop;
  }

  /** Begins to count for a caller. */
  public CallerFlow open(CallerFlow.SlowCallerListener listener) {
    return new CallerFlow(this, listener);
  }

  /** Bytes held for all callers. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Calls whose engines are not read at the moment. */
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

  /** Gives up callers that read nothing, as long as the node holds its bound. */
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
