package org.baykeel.gateway.scheduling;

import org.baykeel.gateway.directory.Engine;

/**
 * A rule on which engines may run a request, apart from how fast they would. Asked for each engine
 * of a service at each choice, so answers come from memory and in constant time.
 */
public interface EnginePolicy {
  /** Whether an engine may run a request now. */
  boolean allows(Engine engine, EngineSelector.Criteria criteria, long nowNanos);

  /** Whether an engine may be the home of a request now, if it may run it. */
  default boolean allowsHome(Engine engine, EngineSelector.Criteria criteria, long nowNanos) {
    return true;
  }

  /** What speaks against an engine that may run a request, in milliseconds. */
  default double penaltyMillis(Engine engine, EngineSelector.Criteria criteria, long nowNanos) {
    return 0;
  }

  /** An engine was chosen; the request is sent to it now. */
  default void onSelected(Engine engine, long nowNanos) {}
}
