package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.directory.Engine;

/** What a node knows of the requests under which engines end. */
public interface Quarantine {

  /** A quarantine that knows of no request. */
  Quarantine NONE = (engine, request, decided) -> decided.run();

  /**
   * Records that the connection on which an engine ran a request was lost.
   *
   * @param decided is called exactly once, possibly before this method returns, when it is known
   *     whether the engine has ended or after a short time limit
   */
  void connectionLost(Engine engine, RunningRequest request, Runnable decided);
}
