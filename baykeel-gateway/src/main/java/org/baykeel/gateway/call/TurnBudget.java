package org.baykeel.gateway.call;

import java.util.function.Consumer;
import org.baykeel.gateway.budget.Reservation;
import org.baykeel.gateway.budget.ReservationStatus;

/**
 * Decides whether a turn may run, and reserves the tokens that it may send to the caller. A turn
 * without a budget has no limit of tokens.
 */
final class TurnBudget {
  private final GatewayContext context;
  private final CallAttributes attributes;
  private final AuthorizedCall call;
  private final ProgramStart programStart;
  private Reservation reservation;
  private boolean programKnown;

  /** Creates a budget without a reservation. */
  TurnBudget(GatewayContext context, AuthorizedCall call) {
    this.context = context;
    this.call = call;
    this.attributes = call.attributes();
    this.programStart = new ProgramStart(context, call);
  }

  /**
   * Decides whether the call may proceed; one that starts a program may be refused for lack of
   * capacity.
   *
   * @param admitted runs if it may, unless the call has ended by then
   * @param refused receives the refusal if it may not
   */
  void admit(Runnable admitted, Consumer<Refusal> refused) {
    programStart.decide(admitted, refused);
  }

  /**
   * Whether the call must be refused, since the store is unreachable and engines have no spare
   * capacity. A turn could run while its events wait for the store, but that use of an engine is
   * justified only if engines have spare capacity.
   */
  boolean mustRefuseWithoutStore() {
    return !context.storeHealth().reachable()
        && !context
            .admission()
            .hasSpareCapacity(
                call.service(), call.route().targetLatencyMillis(), context.eventLoop().nanoTime());
  }

  /**
   * Reserves the most tokens that the turn may generate.
   *
   * @param giveUpNanos when the store counts as unavailable
   * @param onDecided runs later if the decision is pending now
   * @return the decision, or {@link ReservationStatus#PENDING}
   */
  ReservationStatus reserve(long giveUpNanos, Runnable onDecided) {
    String program = call.caller().scoped(attributes.programId());
    programKnown = context.budgets().isKnown(program) || programStart.startedElsewhere();
    reservation =
        context
            .budgets()
            .reserve(
                program,
                attributes.tokenBudget(),
                attributes.maxOutputTokens(),
                giveUpNanos,
                () -> onStatusDecided(onDecided));
    return reservation.status();
  }

  private void onStatusDecided(Runnable onDecided) {
    if (!programKnown && attributes.firstConversation() && reservation.programStartedHere()) {
      programStart.recordStart();
    }
    onDecided.run();
  }

  /** The decision on the turn's tokens. */
  ReservationStatus status() {
    return reservation == null ? ReservationStatus.GRANTED : reservation.status();
  }

  /**
   * Whether the turn may be sent now. While the decision on its tokens is pending, it may only be
   * sent if they will most likely be granted, or if the store is unreachable. A turn in the first
   * conversation of a program that this node has no record of most likely starts the program, whose
   * budget then suffices. A turn of a sub-agent does not: a program in a loop starts one sub-agent
   * after the other.
   */
  boolean maySend() {
    boolean likelyNew = !programKnown && attributes.firstConversation();
    boolean maySendUngranted = likelyNew || !context.storeHealth().reachable();
    return status() != ReservationStatus.PENDING || maySendUngranted;
  }

  /** Records tokens that were sent to the caller. */
  void recordUse(int tokens) {
    if (reservation != null) {
      reservation.use(tokens);
    }
  }

  /** Ends the turn. */
  void close() {
    programStart.close();
    if (reservation != null) {
      reservation.close();
    }
  }
}
