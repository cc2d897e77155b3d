package org.baykeel.gateway.call;

import org.baykeel.gateway.budget.Grant;
import org.baykeel.gateway.budget.Reservation;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.tenancy.Caller;

/**
 * The tokens that a turn may hand out, and whether its program may begin while engines keep work
 * waiting. A turn without a budget has as many tokens as it needs.
 */
final class TurnBudget {
  private final GatewayContext context;
  private final CallAttributes attributes;
  private final Route route;
  private final Caller caller;
  private Reservation reservation;
  private boolean programKnown;
  private boolean congested;

  /** Creates a budget of which nothing is reserved. */
  TurnBudget(GatewayContext context, CallAttributes attributes, Route route, Caller caller) {
    this.context = context;
    this.attributes = attributes;
    this.route = route;
    this.caller = caller;
  }

  /**
   * Reserves the most that the turn may generate.
   *
   * @param giveUpNanos when the store counts as unavailable
   * @param onDecided runs later if the decision is pending now
   * @return the decision, or {@link Grant#PENDING}
   */
  Grant reserve(long giveUpNanos, Runnable onDecided) {
    String program = caller.scoped(attributes.programId());
    programKnown = context.budgets().knows(program);
    congested =
        !context
            .congestion()
            .admits(
                caller.priority(route.priority()) == 0,
                route.targetLatencyMillis(),
                context.eventLoop().nanoTime());
    reservation =
        context
            .budgets()
            .reserve(
                program,
                attributes.tokenBudget(),
                attributes.maxOutputTokens(),
                giveUpNanos,
                onDecided);
    return reservation.grant();
  }

  /** The decision on its tokens. */
  Grant grant() {
    return reservation == null ? Grant.GRANTED : reservation.grant();
  }

  /**
   * Whether the turn may be sent now. While its tokens are undecided it may only if it will most
   * likely get them. The first line of a program that is new here is most likely new altogether,
   * and surely affordable then. Its sub-agents are not: a program that loops starts one after the
   * other.
   */
  boolean allowsSending() {
    boolean likelyNew = !programKnown && attributes.firstLine();
    boolean likelyGranted = likelyNew || !context.storeHealth().reachable();
    return grant() != Grant.PENDING || likelyGranted && !congested;
  }

  /** Whether the program turned out to be a new one while engines keep work waiting. */
  boolean opensInCongestion() {
    return congested && !programKnown && reservation.programOpenedHere();
  }

  /** Notes tokens that were handed to the caller. */
  void used(int tokens) {
    if (reservation != null) {
      reservation.use(tokens);
    }
  }

  /** The turn is over. */
  void close() {
    if (reservation != null) {
      reservation.close();
    }
  }
}
