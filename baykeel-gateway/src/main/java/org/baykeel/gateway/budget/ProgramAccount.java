package org.baykeel.gateway.budget;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;

/**
 * The granted tokens of one program on this node.
 *
 * <p>Invariant: the row's granted tokens are at least the tokens that all nodes have used or may
 * still use. A grant is made only while less than the budget is granted, so usage exceeds the
 * budget by at most the largest number of tokens of one turn.
 */
final class ProgramAccount {
  /**
   * The fraction of the budget that is granted at once while the budget is far from exhausted.
   * Granting ahead saves calls to the store, and turns can continue during a store outage. A
   * program also loses up to this fraction of its budget when the node that holds its tokens dies,
   * so the fraction may not be much larger.
   */
  private static final double AHEAD_FRACTION = 1.0 / 3;

  /**
   * Grants ahead of need are made only if the granted tokens then do not exceed this fraction of
   * the budget, so there are at most two.
   */
  private static final double MAX_AHEAD_FRACTION = 0.7;

  private static final long RETRY_MILLIS = 40;

  private final ProgramId program;
  private final RowAddress address;
  private final DurableStore store;
  private final EventLoop eventLoop;
  private final GrantIds grantIds;
  private final GrantSource source;
  private final ArrayDeque<Reservation> waiting = new ArrayDeque<>();
  private long budgetTokens;

  /** The tokens granted to this node that no turn has reserved. */
  private long allowance;

  private BudgetRow row = BudgetRow.NONE;
  private long rowVersion = Transaction.ABSENT;
  private boolean rowKnown;
  private boolean startedHere;

  /**
   * Whether this node holds the program's tokens, from a grant or a transfer, as far as it knows.
   */
  private boolean holder;

  /** Whether other nodes were queried since this node last released its tokens. */
  private boolean othersQueried;

  private boolean requestPending;
  private BudgetRow unconfirmedRow;
  private int openReservations;
  private long lastUsedNanos;

  @SuppressWarnings("ParameterNumber")
  ProgramAccount(
      ProgramId program,
      RowAddress address,
      DurableStore store,
      EventLoop eventLoop,
      GrantIds grantIds,
      GrantSource source) {
    this.program = program;
    this.address = address;
    this.store = store;
    this.eventLoop = eventLoop;
    this.grantIds = grantIds;
    this.source = source;
  }

  Reservation reserve(long budget, int tokens, long giveUpNanos, Runnable onDecided) {
    budgetTokens = budget;
    openReservations++;
    lastUsedNanos = eventLoop.nanoTime();
    Reservation reservation = new Reservation(this, tokens, giveUpNanos, onDecided);
    if (waiting.isEmpty() && allowance >= tokens) {
      allowance -= tokens;
      reservation.decideWithoutCallback(ReservationStatus.GRANTED);
    } else if (knownExhausted(tokens)) {
      reservation.decideWithoutCallback(ReservationStatus.EXHAUSTED);
    } else {
      waiting.add(reservation);
      reservation.suppressCallback(true);
      requestTokens();
      reservation.suppressCallback(false);
    }
    return reservation;
  }

  /**
   * Returns whether a turn is known to exceed the budget, without a query to the store or to a
   * peer.
   */
  boolean exhausted(long budget, int tokens) {
    budgetTokens = budget;
    return waiting.isEmpty() && knownExhausted(tokens);
  }

  boolean isKnown() {
    return rowKnown;
  }

  /** Returns whether the store had no row of the program before this node's first grant. */
  boolean startedHere() {
    return startedHere;
  }

  boolean idleSince(long nanos) {
    return openReservations == 0
        && waiting.isEmpty()
        && !requestPending
        && lastUsedNanos - nanos < 0;
  }

  void released(Reservation reservation, int unusedTokens) {
    openReservations--;
    lastUsedNanos = eventLoop.nanoTime();
    if (reservation.status() == ReservationStatus.GRANTED) {
      allowance += unusedTokens;
    } else {
      waiting.remove(reservation);
    }
    serveFromAllowance();
  }

  private boolean knownExhausted(int tokens) {
    boolean othersMayHaveTokens = !holder && !othersQueried;
    boolean allGranted = rowKnown && row.grantedTokens() >= budgetTokens;
    return allGranted && allowance < tokens && !othersMayHaveTokens;
  }

  private void requestTokens() {
    if (requestPending || waiting.isEmpty()) {
      return;
    }
    if (!holder && !othersQueried) {
      requestPending = true;
      othersQueried = true;
      source.request(program, this::onTransfer);
      return;
    }
    long grant = tokensToRequest();
    if (grant == 0) {
      refuseAll(ReservationStatus.EXHAUSTED);
      return;
    }
    requestPending = true;
    // Any of several calls without a response may be the one that was applied.
    long grantId = unconfirmedRow == null ? grantIds.next() : unconfirmedRow.grantId();
    BudgetRow next = new BudgetRow(row.grantedTokens() + grant, grantId);
    store.transact(
        Transaction.replace(address, rowVersion, next.encode()),
        outcome -> onOutcome(next, outcome));
  }

  private long tokensToRequest() {
    long missing = -allowance;
    long granted = row.grantedTokens();
    for (Reservation reservation : waiting) {
      if (granted + Math.max(0, missing) >= budgetTokens) {
        break;
      }
      missing += reservation.tokens();
    }
    if (missing <= 0) {
      return 0;
    }
    long ahead = Math.max(missing, (long) (budgetTokens * AHEAD_FRACTION));
    return granted + ahead <= budgetTokens * MAX_AHEAD_FRACTION ? ahead : missing;
  }

  private void onTransfer(Optional<GrantTransfer> transfer) {
    requestPending = false;
    transfer.ifPresent(this::adoptTransfer);
    serveFromAllowance();
    requestTokens();
  }

  private void adoptTransfer(GrantTransfer transfer) {
    allowance += transfer.tokens();
    if (!rowKnown || transfer.rowVersion() > rowVersion) {
      row = new BudgetRow(transfer.grantedTokens(), transfer.grantId());
      rowVersion = transfer.rowVersion();
      rowKnown = true;
    }
    becomeHolder();
  }

  private void becomeHolder() {
    if (!holder) {
      holder = true;
      source.announceHolder(program);
    }
  }

  /**
   * Releases the tokens that no turn of this node has reserved or waits for. They are deducted
   * before they are sent, so they count as spent if the response is lost.
   */
  Optional<GrantTransfer> release() {
    if (!rowKnown) {
      return Optional.empty();
    }
    long released = waiting.isEmpty() ? allowance : 0;
    allowance -= released;
    holder = false;
    othersQueried = false;
    return Optional.of(new GrantTransfer(released, row.grantedTokens(), row.grantId(), rowVersion));
  }

  private void onOutcome(BudgetRow requested, TransactionOutcome outcome) {
    requestPending = false;
    if (outcome instanceof TransactionOutcome.Applied applied) {
      adoptOwnGrant(requested, applied.version());
    } else if (outcome instanceof TransactionOutcome.Conflict conflict) {
      onConflict(requested, conflict.rows());
    } else {
      if (outcome instanceof TransactionOutcome.Unknown) {
        unconfirmedRow = requested;
      }
      retryUntilTimeout();
    }
  }

  private void adoptOwnGrant(BudgetRow granted, long version) {
    startedHere |= rowVersion == Transaction.ABSENT;
    allowance += granted.grantedTokens() - row.grantedTokens();
    adopt(granted, version);
    becomeHolder();
    serveFromAllowance();
    requestTokens();
  }

  /** Decodes the row; if that fails, the reservations are retried until they time out. */
  private BudgetRow decode(StoredRow stored) {
    try {
      return BudgetRow.decode(stored.value());
    } catch (IllegalArgumentException e) {
      retryUntilTimeout();
      throw e;
    }
  }

  private void onConflict(BudgetRow requested, List<StoredRow> rows) {
    BudgetRow current = BudgetRow.NONE;
    long version = Transaction.ABSENT;
    for (StoredRow stored : rows) {
      if (stored.address().key().equals(address.key()) && !stored.removed()) {
        current = decode(stored);
        version = stored.version();
      }
    }
    if (ownGrant(requested, current) || ownGrant(unconfirmedRow, current)) {
      adoptOwnGrant(current, version);
      return;
    }
    adopt(current, version);
    serveFromAllowance();
    requestTokens();
  }

  /**
   * Returns whether the row is the one that this node wrote: an earlier or duplicated copy of the
   * call was applied.
   */
  private static boolean ownGrant(BudgetRow requested, BudgetRow current) {
    return requested != null && requested.grantId() == current.grantId();
  }

  private void adopt(BudgetRow current, long version) {
    row = current;
    rowVersion = version;
    rowKnown = true;
    unconfirmedRow = null;
  }

  private void serveFromAllowance() {
    while (!waiting.isEmpty() && allowance >= waiting.peek().tokens()) {
      Reservation reservation = waiting.poll();
      allowance -= reservation.tokens();
      reservation.decide(ReservationStatus.GRANTED);
    }
  }

  private void refuseAll(ReservationStatus refusal) {
    while (!waiting.isEmpty()) {
      waiting.poll().decide(refusal);
    }
  }

  private void retryUntilTimeout() {
    long now = eventLoop.nanoTime();
    for (Reservation reservation : List.copyOf(waiting)) {
      if (now - reservation.giveUpNanos() >= 0) {
        waiting.remove(reservation);
        reservation.decide(ReservationStatus.UNAVAILABLE);
      }
    }
    if (!waiting.isEmpty()) {
      eventLoop.schedule(RETRY_MILLIS, this::requestTokens);
    }
  }
}
