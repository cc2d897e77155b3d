package org.baykeel.gateway.budget;

/** The tokens that one turn may hand out. Used only from the event loop. */
public final class Reservation {
  private final ProgramAccount account;
  private final int tokens;
  private final long giveUpNanos;
  private final Runnable onDecided;
  private ReservationStatus status = ReservationStatus.PENDING;
  private int usedTokens;
  private boolean closed;
  private boolean suppressCallback;

  Reservation(ProgramAccount account, int tokens, long giveUpNanos, Runnable onDecided) {
    this.account = account;
    this.tokens = tokens;
    this.giveUpNanos = giveUpNanos;
    this.onDecided = onDecided;
  }

  int tokens() {
    return tokens;
  }

  long giveUpNanos() {
    return giveUpNanos;
  }

  boolean closed() {
    return closed;
  }

  /** The decision, or {@link ReservationStatus#PENDING}. */
  public ReservationStatus status() {
    return status;
  }

  void decide(ReservationStatus decision) {
    status = decision;
    if (!closed && !suppressCallback) {
      onDecided.run();
    }
  }

  /** While quiet, a decision is only kept: whoever reserves is about to look at it. */
  void suppressCallback(boolean suppress) {
    suppressCallback = suppress;
  }

  void decideWithoutCallback(ReservationStatus decision) {
    status = decision;
  }

  /** Whether the program was unknown to the store before this process's first grant. */
  public boolean programStartedHere() {
    return account.startedHere();
  }

  /** Notes tokens that were handed to the caller. */
  public void use(int sentTokens) {
    usedTokens += sentTokens;
  }

  /** The turn is over; what it did not use goes to the program's next turns. */
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    account.released(this, Math.max(0, tokens - usedTokens));
  }
}
