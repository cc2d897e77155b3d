package org.baykeel.gateway.link;

import java.util.List;
import java.util.Optional;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;

/** A message on a connection between nodes: a request, or the response to one. */
public sealed interface LinkMessage {

  /**
   * Returns the identifier chosen by the sender of the request, unique on its connection; the
   * response repeats it.
   */
  long correlationId();

  /**
   * Requests that the receiver makes a store call.
   *
   * @param call the call
   */
  record StoreRequest(long correlationId, StoreCall call) implements LinkMessage {}

  /**
   * Returns the outcome of a store call.
   *
   * @param reply the outcome
   */
  record StoreResponse(long correlationId, StoreReply reply) implements LinkMessage {}

  /**
   * Requests the tokens that remain of the receiver's grant of a program, which the sender takes
   * over.
   *
   * @param program the program
   */
  record GrantRequest(long correlationId, ProgramId program) implements LinkMessage {}

  /**
   * Transfers the remaining tokens of a grant to the receiver; the sender no longer spends them.
   *
   * @param transfer the tokens, or empty if the program is unknown to the sender
   */
  record GrantResponse(long correlationId, Optional<GrantTransfer> transfer)
      implements LinkMessage {}

  /**
   * Requests a turn and all turns that it continues.
   *
   * @param turnId the turn
   */
  record TurnsRequest(long correlationId, String turnId) implements LinkMessage {}

  /**
   * Returns those of the requested turns that are in memory; each of them is also in the store.
   *
   * @param turns the turns, in any order
   */
  record TurnsResponse(long correlationId, List<StoredTurn> turns) implements LinkMessage {
    public TurnsResponse {
      turns = List.copyOf(turns);
    }
  }
}
