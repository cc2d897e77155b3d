package org.baykeel.gateway.quarantine;

import org.baykeel.gateway.directory.Engine;

/**
 * One run of a request at one engine. A run may outlast the attempt that began it: it ends with a
 * whole response, with the engine's statement that it did not run the request, or with a proof that
 * the engine no longer runs it.
 */
public interface EngineRun {

  /**
   * Returns whether the request may be sent now. For a request under which engines ended or may
   * end, this claims the send among all nodes; the claim is kept while the verdict is {@link
   * Verdict#UNDECIDED} or the request may be sent, until {@link #sent} or {@link #withdraw}.
   */
  Verdict claim();

  /** Withdraws the claim, if any, since the request is not sent now. */
  void withdraw();

  /**
   * Records that the request is sent.
   *
   * @param deadlineNanos until when the engine may run it, by the event loop's clock
   */
  void sent(Engine engine, long deadlineNanos);

  /** Records that the engine has responded with a failure, or that it did not run the request. */
  void closed();

  /** Records that the engine has run the request to its end. */
  void completed();

  /** Records that the attempt has ended although the engine may go on running the request. */
  void abandoned();

  /**
   * Records that the connection on which the engine ran the request was lost.
   *
   * @param decided is called exactly once, possibly before this method returns, when it is known
   *     whether the engine has ended or after a short time limit
   */
  void connectionLost(Runnable decided);
}
