package org.baykeel.gateway.budget;

/** The tokens that one turn may generate. Used only on the event loop. */
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

  /** Returns the decision, or {@link ReservationStatus#PENDING}. */
  public ReservationStatus status() {
    return status;
  }

  void decide(ReservationStatus decision) {
    status = decision;
    if (!closed && !suppressCallback) {
      onDecided.run();
    }
  }

  /**
   * Sets whether a decision is stored without a callback. This is so while the method that makes
   * the reservation runs, since it returns the reservation with the decision.
   */
  void suppressCallback(boolean suppress) {
    suppressCallback = suppress;
  }

  void decideWithoutCallback(ReservationStatus decision) {
    status = decision;
  }

  /** Returns whether the store had no row of the program before this node's first grant. */
  public boolean programStartedHere() {
    return account.startedHere();
  }

  /** Records tokens that were sent to the caller. */
  public void use(int sentTokens) {
    usedTokens += sentTokens;
  }

  /** Ends the turn. Its unused tokens are available to the program's next turns. */
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    account.released(this, Math.max(0, tokens - usedTokens));
  }
}
