package org.baykeel.gateway.link;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;

/** What a node does for other nodes; called on the event loop. */
public interface LinkServices {

  /**
   * Makes a call to the store by this node's own way.
   *
   * @param callback takes the outcome, exactly once
   */
  void callStore(StoreCall call, Consumer<StoreReply> callback);

  /** Gives up what this node has left of a program's grant. */
  Optional<GrantTransfer> releaseGrant(ProgramId program);

  /** What this node has in memory of a turn and all it continues. */
  List<StoredTurn> turnsInMemory(String turnId);
}
