package org.baykeel.gateway.quarantine;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.program.RequestFingerprint;

/** The end of an engine, with the requests that it is known to have been running. */
final class EngineEnd {
  /** More than an engine runs at once; the surplus of a larger engine is ignored. */
  private static final int MAX_REQUESTS = 256;

  private final EngineIncarnation engine;
  private final Set<RequestFingerprint> requests = new LinkedHashSet<>();
  private final long endedNanos;

  EngineEnd(EngineIncarnation engine, long endedNanos) {
    this.engine = engine;
    this.endedNanos = endedNanos;
  }

  EngineIncarnation engine() {
    return engine;
  }

  /** Returns when the engine ended, by the event loop's clock and the first report. */
  long endedNanos() {
    return endedNanos;
  }

  /** Adds requests that the engine was running; returns whether any of them was new. */
  boolean add(Iterable<RequestFingerprint> reported) {
    boolean changed = false;
    for (RequestFingerprint request : reported) {
      changed |= requests.size() < MAX_REQUESTS && requests.add(request);
    }
    return changed;
  }

  boolean ran(RequestFingerprint request) {
    return requests.contains(request);
  }

  /** Withdraws the suspicion of a request; returns whether there was one. */
  boolean clear(RequestFingerprint request) {
    return requests.remove(request);
  }

  /** Returns the requests, up to a number. */
  List<RequestFingerprint> requests(int count) {
    return requests.stream().limit(count).toList();
  }

  Set<RequestFingerprint> requests() {
    return Collections.unmodifiableSet(requests);
  }
}
