package org.baykeel.gateway.call;

import org.baykeel.gateway.buffering.EngineBody;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.program.RequestFingerprint;

/** Describes the work that a call asks of an engine, for its fingerprint. */
final class CallFingerprint {
  private CallFingerprint() {}

  /**
   * Returns a builder of the fingerprint. The fingerprint does not depend on what differs between
   * the tries of a request, nor on whether a turn carries its whole conversation or names the turn
   * that it continues, nor on the event after which a stream is resumed.
   *
   * @param engineBody the body for engines, with the whole conversation
   */
  static RequestFingerprint.Builder builder(AuthorizedCall call, EngineBody engineBody) {
    CallAttributes attributes = call.attributes();
    RequestFingerprint.Builder builder =
        new RequestFingerprint.Builder(engineBody)
            .add(call.request().method())
            .add(call.route().host())
            .add(call.request().target())
            .add(attributes.model())
            .add(attributes.affinityKey());
    for (PromptPart part : attributes.prompt()) {
      builder.add(part.id());
    }
    if (engineBody.length() == 0 && attributes.prompt().isEmpty()) {
      // Without content, requests of different programs need not ask for the same work.
      builder.add(attributes.programId()).add(attributes.sessionId());
    }
    return builder;
  }
}
