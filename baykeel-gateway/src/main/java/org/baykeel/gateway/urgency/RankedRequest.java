package org.baykeel.gateway.urgency;

/**
 * What the rank of a request depends on. Its size is not among it.
 *
 * @param requestId identifies the request, also when it is sent again
 * @param route the name of its route
 * @param kindRank the rank of its kind and tenant, 0 being the most urgent
 * @param stream whether it is a stream
 * @param program its program, apart from those of other tenants; null if it has none
 * @param mayBeFirstTurn whether it may be the first turn of its program, by what it says itself
 * @param remainingMillis what is left of its program's time, 0 if that has passed; {@link #ABSENT}
 *     if it did not say
 */
public record RankedRequest(
    String requestId,
    String route,
    int kindRank,
    boolean stream,
    String program,
    boolean mayBeFirstTurn,
    long remainingMillis) {

  /** Stands for a time that a request does not carry. */
  public static final long ABSENT = -1;

  /** Whether it belongs to a program whose time is known. */
  boolean timed() {
    return program != null && remainingMillis != ABSENT;
  }
}
