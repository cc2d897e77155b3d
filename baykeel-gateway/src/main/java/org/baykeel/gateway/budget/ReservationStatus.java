package org.baykeel.gateway.budget;

/** The state of the reservation of a turn's tokens. */
public enum ReservationStatus {
  /** The store or a peer has not responded yet. */
  PENDING,
  /** The tokens are reserved for the turn. */
  GRANTED,
  /** The program's budget is exhausted. */
  EXHAUSTED,
  /** The store could not be reached in time. */
  UNAVAILABLE
}
