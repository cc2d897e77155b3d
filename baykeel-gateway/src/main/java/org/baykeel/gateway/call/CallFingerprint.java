package org.baykeel.gateway.call;

import java.util.List;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.quarantine.RequestFingerprint;

/** Computes the fingerprint of the work that a call asks of an engine. */
final class CallFingerprint {
  private CallFingerprint() {}

  /**
   * Returns the fingerprint. It does not depend on what differs between the tries of a request, nor
   * on whether a turn carries its whole conversation or names the turn that it continues, nor on
   * the event after which a stream is resumed.
   *
   * @param engineBody the body for engines, with the whole conversation
   */
  static RequestFingerprint of(CallRequest request, byte[] engineBody) {
    CallAttributes attributes = request.attributes();
    RequestFingerprint.Builder builder =
        new RequestFingerprint.Builder()
            .add(request.method())
            .add(request.host())
            .add(request.target())
            .add(attributes.model())
            .add(attributes.affinityKey());
    addPrompt(builder, attributes.prompt());
    builder.add(engineBody);
    if (engineBody.length == 0 && attributes.prompt().isEmpty()) {
      // Without content, requests of different programs need not ask for the same work.
      builder.add(attributes.programId()).add(attributes.sessionId());
    }
    return builder.build();
  }

  private static void addPrompt(RequestFingerprint.Builder builder, List<PromptPart> prompt) {
    for (PromptPart part : prompt) {
      builder.add(part.id());
    }
    builder.add((String) null);
  }
}
