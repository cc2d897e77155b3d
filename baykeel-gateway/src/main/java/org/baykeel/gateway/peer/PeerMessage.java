package org.baykeel.gateway.peer;

import java.util.Optional;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.program.ProgramId;

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

  /**
   * The sender serves a program now.
   *
   * @param program the program
   */
  record HolderAnnouncement(ProgramId program) implements PeerMessage {}

  /**
   * The sender wants to know which node served a program last.
   *
   * @param queryId chosen by the sender; the reply carries it
   * @param program the program
   */
  record HolderQuery(long queryId, ProgramId program) implements PeerMessage {}

  /**
   * Which node served a program last.
   *
   * @param queryId that of the query
   * @param holder nothing if the sender knows none
   */
  record HolderReply(long queryId, Optional<PeerAddress> holder) implements PeerMessage {}
}
