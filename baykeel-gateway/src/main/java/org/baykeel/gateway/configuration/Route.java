package org.baykeel.gateway.configuration;

import java.util.List;
import org.baykeel.gateway.residency.Residency;

/**
 * One rule that sends requests of a host and path prefix to services.
 *
 * @param name the operator's name of the route
 * @param host the host it applies to, in lower case
 * @param pathPrefix the prefix of the path, beginning and ending with a slash
 * @param kind how often a request may run
 * @param timeoutMillis the longest time that a request may be held
 * @param targetLatencyMillis the time within which an answer has its full value
 * @param gapTargetMillis the longest pause between events for which a stream is in time
 * @param priority the rank among routes; 0 is the most urgent
 * @param backends the services that share the requests; never empty
 * @param attempts the largest number of engines to which one request may be sent
 * @param retained whether turns are kept and continued by reference
 * @param retentionMillis how long a kept turn must stay readable
 * @param sessionAffinity whether an engine works faster on what it has seen before
 * @param resumable whether a broken stream may be continued at another engine
 * @param anonymous whether callers need no key even where the configuration names tenants
 * @param residency where its requests may run, be cached and be kept
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    long timeoutMillis,
    long targetLatencyMillis,
    long gapTargetMillis,
    int priority,
    List<Backend> backends,
    int attempts,
    boolean retained,
    long retentionMillis,
    boolean sessionAffinity,
    boolean resumable,
    boolean anonymous,
    Residency residency) {

  private static final int STREAM_SILENCE_TARGETS = 5;
  private static final int STREAM_SILENCE_GAPS = 2;
  private static final int SAFE_SILENCE_TARGETS = 4;
  private static final double SAFE_SILENCE_PART_OF_TIMEOUT = 0.3;

  public Route {
    backends = List.copyOf(backends);
    if (backends.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no backend");
    }
  }

  /**
   * The longest silence of an engine after which a request that may be repeated tries another one.
   *
   * @param begun whether the first event of a stream is there
   */
  public long silenceTimeoutMillis(boolean begun) {
    if (kind == RouteKind.SAFE) {
      long patience = Math.round(timeoutMillis * SAFE_SILENCE_PART_OF_TIMEOUT);
      return Math.min(targetLatencyMillis * SAFE_SILENCE_TARGETS, patience);
    }
    return begun
        ? gapTargetMillis * STREAM_SILENCE_GAPS
        : targetLatencyMillis * STREAM_SILENCE_TARGETS;
  }

  /** Whether a request may be sent to another engine after an unknown outcome. */
  public boolean repeatable() {
    return kind == RouteKind.SAFE || kind == RouteKind.STREAMING && resumable;
  }
}
