package org.baykeel.gateway.link;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;

/** The services that a node provides to other nodes; called on the event loop. */
public interface LinkServices {

  /**
   * Makes a store call over this node's direct store path.
   *
   * @param callback receives the outcome, exactly once
   */
  void callStore(StoreCall call, Consumer<StoreReply> callback);

  /**
   * Releases the remaining tokens of this node's grant of a program; empty if there is nothing to
   * release.
   */
  Optional<GrantTransfer> releaseGrant(ProgramId program);

  /** Returns those of a turn and the turns that it continues that are in this node's memory. */
  List<StoredTurn> turnsInMemory(String turnId);
}
