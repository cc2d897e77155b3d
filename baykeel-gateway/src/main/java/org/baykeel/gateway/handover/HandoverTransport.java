package org.baykeel.gateway.handover;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.program.ProgramId;

/**
 * Requests a program's state from other nodes. Each response arrives exactly once and may be empty.
 */
public interface HandoverTransport {

  /** Requests that a node release the tokens that it has remaining of a program's grant. */
  void requestGrant(PeerAddress peer, ProgramId program, Consumer<Optional<GrantTransfer>> answer);

  /** Requests those of a turn and of the turns that it continues that a node has in memory. */
  void requestTurns(PeerAddress peer, String turnId, Consumer<List<StoredTurn>> answer);
}
