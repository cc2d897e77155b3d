package org.baykeel.gateway.peer;

import org.baykeel.gateway.directory.EngineId;

/** What nodes tell each other. */
public sealed interface PeerMessage {

  /** The sender has started and wants to hear of others' findings. */
  record NodeAnnouncement() implements PeerMessage {}

  /**
   * Requests of the sender have just failed in a row at an engine.
   *
   * @param engineId the engine
   */
  record EngineSuspicion(EngineId engineId) implements PeerMessage {}
}
