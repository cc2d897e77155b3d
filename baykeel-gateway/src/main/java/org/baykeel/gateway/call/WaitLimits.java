package org.baykeel.gateway.call;

/** Until when a call may wait for capacity, and how urgent it is among the calls that wait. */
final class WaitLimits {
  /** Lower bound of the time reserved for the work of a call. */
  private static final long MIN_WORK_MILLIS = 20;

  private final AuthorizedCall call;
  private final double workMillis;

  /**
   * Creates the limits of a call.
   *
   * @param usualResponseMillis the usual time of such a call at an engine, in milliseconds
   */
  WaitLimits(AuthorizedCall call, double usualResponseMillis) {
    this.call = call;
    this.workMillis = Math.max(MIN_WORK_MILLIS, usualResponseMillis);
  }

  /** Whether the request arrived early enough to meet its program's finish target. */
  boolean canMeetTarget() {
    return call.attributes().finishMillis() > workMillis;
  }

  /**
   * The program's finish target or the caller's deadline, whichever is first; only the deadline if
   * the finish target cannot be met.
   */
  long dueNanos() {
    long finishTargetNanos =
        call.request().receivedNanos() + call.attributes().finishMillis() * 1_000_000;
    return canMeetTarget()
        ? Math.min(finishTargetNanos, call.deadlineNanos())
        : call.deadlineNanos();
  }

  /**
   * When a wait for capacity must end so that the work can still finish in time. A request that may
   * run only once may wait until the caller's deadline, since its program is lost if the request
   * fails; any other request must also meet its program's finish target if it still can.
   */
  long giveUpNanos() {
    long limitNanos = call.route().repeatable() ? dueNanos() : call.deadlineNanos();
    return limitNanos - Math.round(workMillis * 1e6);
  }
}
