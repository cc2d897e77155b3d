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

/** The accounts of the programs that this process serves. */
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
   * Creates accounts.
   *
   * @param source gets what other processes have left of a program's grant
   */
  public ProgramBudgets(
      DurableStore store, EventLoop eventLoop, GrantIds grantIds, GrantSource source) {
    this.store = store;
    this.eventLoop = eventLoop;
    this.grantIds = grantIds;
    this.source = source;
  }

  /**
   * Reserves the most tokens that a turn may generate. The decision may be known at once; if it is
   * pending, {@code onDecided} runs later.
   *
   * @param giveUpNanos when a turn that still waits is told that the store is unavailable
   */
  public Reservation reserve(
      String program, long budgetTokens, int turnTokens, long giveUpNanos, Runnable onDecided) {
    return account(program).reserve(budgetTokens, turnTokens, giveUpNanos, onDecided);
  }

  /**
   * Whether a turn would be refused at once because its program's budget is spent.
   *
   * @param turnTokens the most that the turn may generate
   */
  public boolean exhausted(String program, long budgetTokens, int turnTokens) {
    ProgramAccount account = accounts.get(program);
    return account != null && account.exhausted(budgetTokens, turnTokens);
  }

  /** Whether this process has learnt of the program from the store. */
  public boolean isKnown(String program) {
    ProgramAccount account = accounts.get(program);
    return account != null && account.isKnown();
  }

  /** What the store says of a program. */
  public enum Started {
    /** Some process was granted tokens of it. */
    YES,
    /** Nobody was. */
    NO,
    /** The store did not answer. */
    UNKNOWN
  }

  /**
   * Reads whether a program has begun anywhere, without granting it anything.
   *
   * @param answer takes what the store says, exactly once
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

  /** Gives up what this process has left of a program's grant, for another to use. */
  public Optional<GrantTransfer> release(ProgramId program) {
    return Optional.ofNullable(accounts.get(program.value())).flatMap(ProgramAccount::release);
  }

  /** Forgets programs that have not been heard of for a while. Their rows stay in the store. */
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
