package org.baykeel.core.scheduling;

/** A model call that waits for an engine. */
public interface WaitingCall {
  /** What it needs. */
  CallDemand demand();

  /** Priority of its program's class; lower numbers go first. */
  int classPriority();

  /** What its whole program has cost so far, in cost units. */
  long attainedService();

  /** When it began to wait, in milliseconds. */
  long waitingSinceMillis();

  /** The engine that holds its program's prefix, or empty. */
  String cachedOn();

  /** Length of that prefix in tokens. */
  int cachedTokens();

  /** The engine has been chosen: dispatch. */
  void dispatchTo(String engine, long nowMillis);

  /** Another call with a higher priority needs the place in the queue. */
  void displaced(int retryAfterMillis, long nowMillis);
}
