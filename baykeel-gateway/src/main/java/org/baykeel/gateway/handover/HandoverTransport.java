package org.baykeel.gateway.handover;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.program.ProgramId;

/** Asks other nodes for a program's state. Answers come exactly once, possibly with nothing. */
public interface HandoverTransport {

  /** Asks a node to give up what it has left of a program's grant. */
  void requestGrant(PeerAddress peer, ProgramId program, Consumer<Optional<GrantTransfer>> answer);

  /** Asks a node for what it has in memory of a turn and all it continues. */
  void requestTurns(PeerAddress peer, String turnId, Consumer<List<StoredTurn>> answer);
}
