package org.baykeel.gateway.link;

import java.util.List;
import java.util.Optional;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;

/** What nodes send each other on a connection: requests, and an answer to each. */
public sealed interface LinkMessage {

  /** Chosen by the sender of the request, unique on its connection; the answer carries it too. */
  long correlationId();

  /**
   * A call to the store that the receiver is to make.
   *
   * @param call the call
   */
  record StoreRequest(long correlationId, StoreCall call) implements LinkMessage {}

  /**
   * What became of a call to the store.
   *
   * @param reply the outcome
   */
  record StoreResponse(long correlationId, StoreReply reply) implements LinkMessage {}

  /**
   * The sender takes over a program and wants the tokens that the receiver has left of its grant.
   *
   * @param program the program
   */
  record GrantRequest(long correlationId, ProgramId program) implements LinkMessage {}

  /**
   * The tokens that are the other's from now on.
   *
   * @param transfer nothing if the program is unknown here
   */
  record GrantResponse(long correlationId, Optional<GrantTransfer> transfer)
      implements LinkMessage {}

  /**
   * The sender needs a turn and all it continues.
   *
   * @param turnId the turn
   */
  record TurnsRequest(long correlationId, String turnId) implements LinkMessage {}

  /**
   * What is in memory of a turn and all it continues; each of them is in the store.
   *
   * @param turns in any order
   */
  record TurnsResponse(long correlationId, List<StoredTurn> turns) implements LinkMessage {
    public TurnsResponse {
      turns = List.copyOf(turns);
    }
  }
}
