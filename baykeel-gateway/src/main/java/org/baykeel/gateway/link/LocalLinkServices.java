package org.baykeel.gateway.link;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.budget.ProgramBudgets;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.history.TurnHistory;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.remote.FailoverStoreClient;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreReply;

/** Provides the services of this node from its own state. */
public final class LocalLinkServices implements LinkServices {
  private final FailoverStoreClient store;
  private final ProgramBudgets budgets;
  private final TurnHistory history;

  /** Creates services on the state of this node. */
  public LocalLinkServices(FailoverStoreClient store, ProgramBudgets budgets, TurnHistory history) {
    this.store = store;
    this.budgets = budgets;
    this.history = history;
  }

  @Override
  public void callStore(StoreCall call, Consumer<StoreReply> callback) {
    store.callDirectly(call, callback);
  }

  @Override
  public Optional<GrantTransfer> releaseGrant(ProgramId program) {
    return budgets.release(program);
  }

  @Override
  public List<StoredTurn> turnsInMemory(String turnId) {
    return history.turnsInMemory(turnId);
  }
}
