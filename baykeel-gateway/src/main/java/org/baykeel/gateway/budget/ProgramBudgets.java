package org.baykeel.gateway.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.RowAddress;

/** The accounts of the programs that this node serves. */
public final class ProgramBudgets {
  private static final String TABLE = "budget";
  private static final String KEY = "granted";
  private static final long IDLE_EVICTION_NANOS = 120_000_000_000L;

  private final DurableStore store;
  private final EventLoop eventLoop;
  private final GrantIds grantIds;
  private final GrantSource source;
  private final Map<String, ProgramAccount> accounts = new HashMap<>();

  /**
   * Creates an empty set of accounts.
   *
   * @param source transfers the unused granted tokens of a program from other nodes
   */
  public ProgramBudgets(
      DurableStore store, EventLoop eventLoop, GrantIds grantIds, GrantSource source) {
    this.store = store;
    this.eventLoop = eventLoop;
    this.grantIds = grantIds;
    this.source = source;
  }

  /**
   * Reserves the most tokens that a turn may generate. The decision may be available at once; if it
   * is pending, {@code onDecided} runs later.
   *
   * @param giveUpNanos the time from which a failed store call is not retried for this turn, which
   *     then fails as {@link ReservationStatus#UNAVAILABLE}
   */
  public Reservation reserve(
      String program, long budgetTokens, int turnTokens, long giveUpNanos, Runnable onDecided) {
    return account(program).reserve(budgetTokens, turnTokens, giveUpNanos, onDecided);
  }

  /**
   * Returns whether a turn would be refused at once because its program's budget is exhausted.
   *
   * @param turnTokens the most tokens that the turn may generate
   */
  public boolean exhausted(String program, long budgetTokens, int turnTokens) {
    ProgramAccount account = accounts.get(program);
    return account != null && account.exhausted(budgetTokens, turnTokens);
  }

  /** Returns whether this node has received the program's row, from the store or from a peer. */
  public boolean isKnown(String program) {
    ProgramAccount account = accounts.get(program);
    return account != null && account.isKnown();
  }

  /** Whether a program has started, according to the store. */
  public enum Started {
    /** A node was granted tokens of the program. */
    YES,
    /** No node was granted tokens of the program. */
    NO,
    /** The store did not respond. */
    UNKNOWN
  }

  /**
   * Reads whether a program has started on any node, without granting it tokens.
   *
   * @param answer receives the result exactly once
   */
  public void findStarted(String program, Consumer<Started> answer) {
    store.read(
        new RangeRead(TABLE, program, KEY, 1),
        outcome -> {
          if (outcome instanceof ReadOutcome.Rows found) {
            answer.accept(found.rows().isEmpty() ? Started.NO : Started.YES);
          } else {
            answer.accept(Started.UNKNOWN);
          }
        });
  }

  /** Releases this node's unused granted tokens of a program, for use by another node. */
  public Optional<GrantTransfer> release(ProgramId program) {
    return Optional.ofNullable(accounts.get(program.value())).flatMap(ProgramAccount::release);
  }

  /**
   * Removes the accounts of programs that have had no reservation for {@code IDLE_EVICTION_NANOS}.
   * Their rows remain in the store; their unused granted tokens are lost.
   */
  public void evictIdle() {
    long since = eventLoop.nanoTime() - IDLE_EVICTION_NANOS;
    accounts.values().removeIf(account -> account.idleSince(since));
  }

  private ProgramAccount account(String program) {
    return accounts.computeIfAbsent(program, this::createAccount);
  }

  private ProgramAccount createAccount(String program) {
    RowAddress address = new RowAddress(TABLE, program, KEY);
    return new ProgramAccount(new ProgramId(program), address, store, eventLoop, grantIds, source);
  }
}
