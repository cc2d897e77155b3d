package org.baykeel.gateway.quarantine;

import java.util.List;
import java.util.function.IntSupplier;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.program.RequestFingerprint;

/** What a node knows of the requests under which engines end. */
public interface Quarantine {

  /** A quarantine that knows of no request. */
  Quarantine NONE = new NoQuarantine();

  /**
   * Returns whether a suspect may have a fingerprint with a certain head. If not, the body of a
   * request need not be hashed.
   *
   * @param head computes the head, if there are suspects at all
   */
  boolean isSuspectHead(IntSupplier head);

  /** Returns whether a request may be sent. */
  Verdict verdict(RequestFingerprint request);

  /**
   * Returns when a request with the verdict {@link Verdict#HELD} may be sent again, in milliseconds
   * from now.
   */
  long retryMillis(RequestFingerprint request);

  /**
   * Returns the identifiers of the engines that should run a suspect, the best first.
   *
   * @param service the service that is to run it
   */
  List<String> preferredEngines(RequestFingerprint suspect, String service);

  /**
   * Creates a run of a request, which is not sent yet.
   *
   * @param work identifies the request
   */
  EngineRun newRun(RequestFingerprint.Builder work);

  /**
   * Records that the connection on which an engine ran a request was lost.
   *
   * @param decided is called exactly once, possibly before this method returns, when it is known
   *     whether the engine has ended or after a short time limit
   */
  void connectionLost(Engine engine, RequestFingerprint request, Runnable decided);

  /**
   * Records that an engine responded, which proves that it had not ended before the request was
   * sent.
   *
   * @param sentNanos when the request was sent, by the event loop's clock
   */
  void responded(Engine engine, long sentNanos);

  /** Records that an engine ran a suspect to its end, which proves that it is not fatal. */
  void completed(RequestFingerprint suspect);

  /** Adds a listener that is called whenever a request is found to be fatal. */
  void onFatalRequest(Runnable listener);
}
