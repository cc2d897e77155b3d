package org.baykeel.gateway.call;

import java.util.function.Consumer;
import org.baykeel.gateway.budget.Reservation;
import org.baykeel.gateway.budget.ReservationStatus;

/**
 * Whether a turn may run at all, and the tokens that it may hand out. A turn without a budget has
 * as many tokens as it needs.
 */
final class TurnBudget {
  private final GatewayContext context;
  private final CallAttributes attributes;
  private final AuthorizedCall call;
  private final ProgramStart programStart;
  private Reservation reservation;
  private boolean programKnown;

  /** Creates a budget of which nothing is reserved. */
  TurnBudget(GatewayContext context, AuthorizedCall call) {
    this.context = context;
    this.call = call;
    this.attributes = call.attributes();
    this.programStart = new ProgramStart(context, call);
  }

  /**
   * Decides whether the call may go on: one that begins a program may be refused for want of room.
   *
   * @param admitted runs if it may, unless the call is over by then
   * @param refused takes what the caller is told if it may not
   */
  void admit(Runnable admitted, Consumer<Refusal> refused) {
    programStart.decide(admitted, refused);
  }

  /**
   * While the store is away, a turn runs and its events wait for the store; that is worth an
   * engine's time only if engines have time to spare.
   */
  boolean mustRefuseWithoutStore() {
    return !context.storeHealth().reachable()
        && !context
            .admission()
            .hasSpareCapacity(
                call.service(), call.route().targetLatencyMillis(), context.eventLoop().nanoTime());
  }

  /**
   * Reserves the most that the turn may generate.
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

  /** The decision on its tokens. */
  ReservationStatus status() {
    return reservation == null ? ReservationStatus.GRANTED : reservation.status();
  }

  /**
   * Whether the turn may be sent now. While its tokens are undecided it may only if it will most
   * likely get them. The first line of a program that is new here is most likely new altogether,
   * and surely affordable then. Its sub-agents are not: a program that loops starts one after the
   * other.
   */
  boolean maySend() {
    boolean likelyNew = !programKnown && attributes.firstConversation();
    boolean likelyGranted = likelyNew || !context.storeHealth().reachable();
    return status() != ReservationStatus.PENDING || likelyGranted;
  }

  /** Notes tokens that were handed to the caller. */
  void recordUse(int tokens) {
    if (reservation != null) {
      reservation.use(tokens);
    }
  }

  /** The turn is over. */
  void close() {
    programStart.close();
    if (reservation != null) {
      reservation.close();
    }
  }
}
