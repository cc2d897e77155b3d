package org.baykeel.gateway.admission;

import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.tenancy.LimitUse;

/**
 * A request to start a program, made by its first turn.
 *
 * @param route the name of the route
 * @param rank the priority of the tenant or else of the route; 0 is the most urgent
 * @param caller on whose behalf the program runs
 * @param service the service of its turns
 * @param responseTargetMillis the route's response target, in milliseconds
 * @param finishMillis the time until the program's finish target, in milliseconds; 0 or less if
 *     unknown
 * @param limitUse the tenant's recent use of its limit
 */
public record AdmissionRequest(
    String route,
    int rank,
    Caller caller,
    String service,
    long responseTargetMillis,
    long finishMillis,
    LimitUse limitUse) {

  /** The programs that compete for the same capacity: those of one route at one service. */
  String group() {
    return service + '/' + route;
  }
}
