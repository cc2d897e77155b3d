package org.baykeel.gateway.resumption;

import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.directory.SoftwareVersion;

/** Knows at which software version each recent stream began, as a stream may go on only there. */
public interface StreamVersions {

  /**
   * Records that the first event of a stream arrived.
   *
   * @param requestId the request whose response the event belongs to
   * @param service the service whose engine produced it
   * @param version the version of that engine
   */
  void recordBegin(String requestId, String service, SoftwareVersion version);

  /**
   * Records that a stream is complete.
   *
   * @param requestId the request whose response brought its first event
   */
  void recordComplete(String requestId);

  /**
   * Finds the version at which a stream began.
   *
   * @param answer receives the version exactly once, possibly before this method returns; empty if
   *     it cannot be known for certain
   */
  void find(BrokenStream stream, Consumer<Optional<SoftwareVersion>> answer);

  /**
   * A stream that a caller resumes.
   *
   * @param requestId the request that resumes it
   * @param firstRequestId the request whose response brought the first event; null if not given
   * @param service the service that is to continue it
   */
  record BrokenStream(String requestId, String firstRequestId, String service) {}
}
