package org.baykeel.gateway.admission;

import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.tenancy.LimitUse;

/**
 * The first turn of a program that asks to begin.
 *
 * @param route what programs like it have in common: the name of their route
 * @param rank how urgent it is; 0 is the most urgent
 * @param caller on whose behalf it runs
 * @param service the service of its turns
 * @param responseTargetMillis the time within which its route wants an answer to begin
 * @param finishMillis the time left until the whole program should be over; 0 or less if unknown
 * @param limitUse what its tenant asked for lately
 */
public record AdmissionRequest(
    String route,
    int rank,
    Caller caller,
    String service,
    long responseTargetMillis,
    long finishMillis,
    LimitUse limitUse) {

  /** What it competes with for the same room: programs of its kind at its service. */
  String group() {
    return service + '/' + route;
  }
}
