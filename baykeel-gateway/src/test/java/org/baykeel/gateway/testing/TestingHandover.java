package org.baykeel.gateway.testing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.baykeel.gateway.budget.GrantSource;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.budget.ProgramBudgets;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.history.TurnHistory;
import org.baykeel.gateway.history.TurnSource;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Hands programs over between nodes in memory and virtual time. Some requests find no holder, some
 * responses are lost after the tokens were released, and some arrive late.
 */
public final class TestingHandover {
  private static final long ONE_WAY_MILLIS = 3;
  private static final long LATE_MILLIS = 40;
  private static final double LOST_SHARE = 0.1;
  private static final double LATE_SHARE = 0.1;

  private final EventLoop eventLoop;
  private final Random random;
  private final Map<ProgramId, Node> holders = new HashMap<>();
  private int transfers;

  /** Creates a handover between nodes that are added later. */
  public TestingHandover(EventLoop eventLoop, Random random) {
    this.eventLoop = eventLoop;
    this.random = random;
  }

  /** Returns the number of grant transfers so far. */
  public int transfers() {
    return transfers;
  }

  /** The handover of one node. */
  public final class Node implements GrantSource, TurnSource {
    private ProgramBudgets budgets;
    private TurnHistory history;
    private boolean left;

    /** Sets the budgets and the history that this node transfers to others. */
    public void serve(ProgramBudgets newBudgets, TurnHistory newHistory) {
      budgets = newBudgets;
      history = newHistory;
    }

    /** Stops all responses of this node. */
    public void leave() {
      left = true;
    }

    @Override
    public void request(ProgramId program, Consumer<Optional<GrantTransfer>> answer) {
      Node holder = holders.get(program);
      if (holder == null || holder == this || holder.left) {
        answer.accept(Optional.empty());
        return;
      }
      Optional<GrantTransfer> released = holder.budgets.release(program);
      transfers++;
      if (random.nextDouble() < LOST_SHARE) {
        released = Optional.empty();
      }
      Optional<GrantTransfer> response = released;
      eventLoop.schedule(oneWayMillis(), () -> answer.accept(response));
    }

    private long oneWayMillis() {
      return random.nextDouble() < LATE_SHARE ? LATE_MILLIS : ONE_WAY_MILLIS;
    }

    @Override
    public void announceHolder(ProgramId program) {
      holders.put(program, this);
    }

    @Override
    public void request(ProgramId program, String turnId, Consumer<List<StoredTurn>> answer) {
      Node holder = holders.get(program);
      List<StoredTurn> turns =
          holder == null || holder == this || holder.left || holder.history == null
              ? List.of()
              : new ArrayList<>(holder.history.turnsInMemory(turnId));
      eventLoop.schedule(oneWayMillis(), () -> answer.accept(turns));
    }
  }
}
