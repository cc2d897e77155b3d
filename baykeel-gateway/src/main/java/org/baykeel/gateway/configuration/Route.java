package org.baykeel.gateway.configuration;

import java.util.List;
import org.baykeel.gateway.residency.Residency;

/**
 * A rule that sends the requests of a host and path prefix to services.
 *
 * @param name the operator's name of the route
 * @param host the host that it applies to, in lower case
 * @param pathPrefix the prefix of the path, beginning and ending with a slash
 * @param kind how often a request may run
 * @param timeoutMillis the longest time that a request may take, in milliseconds
 * @param targetLatencyMillis the time within which a response has its full value, in milliseconds
 * @param gapTargetMillis the longest time between two events of a stream that is on time, in
 *     milliseconds
 * @param priority the priority among routes; 0 is the most urgent
 * @param backends the services that share the requests; never empty
 * @param attempts the largest number of engines to which one request may be sent
 * @param retained whether turns are stored, so that a caller can continue them by reference
 * @param retentionMillis how long a stored turn must remain readable, in milliseconds
 * @param sessionAffinity whether an engine works faster on input that it has processed before
 * @param resumable whether a broken stream may be continued on another engine
 * @param anonymous whether callers need no key even if the configuration names tenants
 * @param residency the regions in which its requests may run, be cached and be stored
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

  private static final int STREAM_START_TIMEOUT_TARGETS = 5;
  private static final int STREAM_TIMEOUT_GAPS = 2;
  private static final int SAFE_TIMEOUT_TARGETS = 4;
  private static final double SAFE_TIMEOUT_FRACTION = 0.3;

  public Route {
    backends = List.copyOf(backends);
    if (backends.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no backend");
    }
  }

  /**
   * Returns the time without output from an engine after which a repeatable request is sent to
   * another one, in milliseconds.
   *
   * @param streamStarted whether the first event of a stream has arrived
   */
  public long silenceTimeoutMillis(boolean streamStarted) {
    if (kind == RouteKind.SAFE) {
      long limitMillis = Math.round(timeoutMillis * SAFE_TIMEOUT_FRACTION);
      return Math.min(targetLatencyMillis * SAFE_TIMEOUT_TARGETS, limitMillis);
    }
    return streamStarted
        ? gapTargetMillis * STREAM_TIMEOUT_GAPS
        : targetLatencyMillis * STREAM_START_TIMEOUT_TARGETS;
  }

  /** Returns whether a request may be sent to another engine after an unknown outcome. */
  public boolean repeatable() {
    return kind == RouteKind.SAFE || kind == RouteKind.STREAMING && resumable;
  }
}
