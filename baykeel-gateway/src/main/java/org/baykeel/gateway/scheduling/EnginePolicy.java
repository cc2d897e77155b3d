package org.baykeel.gateway.scheduling;

import org.baykeel.gateway.directory.Engine;

/**
 * A rule on which engines may run a request or be its home engine, and on their penalties. The
 * selector calls it for each engine of a service at each selection, so an implementation must
 * return from memory and in constant time.
 */
public interface EnginePolicy {
  /** Returns whether an engine may run a request now. */
  boolean allows(Engine engine, EngineSelector.Criteria criteria, long nowNanos);

  /** Returns whether an engine that may run a request may also be its home engine now. */
  default boolean allowsHome(Engine engine, EngineSelector.Criteria criteria, long nowNanos) {
    return true;
  }

  /** Returns the penalty, in milliseconds, of an engine that may run a request. */
  default double penaltyMillis(Engine engine, EngineSelector.Criteria criteria, long nowNanos) {
    return 0;
  }

  /** Called when an engine was selected and the request is about to be sent to it. */
  default void onSelected(Engine engine, long nowNanos) {}
}
