package org.baykeel.gateway.urgency;

/**
 * The properties of a request that its rank depends on. The size of the request is not one of them.
 *
 * @param requestId identifies the request, also when it is sent again
 * @param route the name of its route
 * @param kindRank the priority of its route and tenant, called its kind here; 0 is the most urgent
 * @param stream whether it is a stream
 * @param program identifies its program among those of all tenants; null if it has none
 * @param mayBeFirstTurn whether it may be the first turn of its program, according to the request
 *     itself
 * @param remainingMillis the time left until the finish target of its program, in milliseconds; 0
 *     if the target has passed; {@link #ABSENT} if the request does not carry it
 */
public record RankedRequest(
    String requestId,
    String route,
    int kindRank,
    boolean stream,
    String program,
    boolean mayBeFirstTurn,
    long remainingMillis) {

  /** The value of a time that a request does not carry. */
  public static final long ABSENT = -1;

  /** Returns whether the request belongs to a program whose finish target is known. */
  boolean timed() {
    return program != null && remainingMillis != ABSENT;
  }
}
