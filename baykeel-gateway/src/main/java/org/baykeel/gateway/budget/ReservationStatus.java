package org.baykeel.gateway.budget;

/** Whether a turn may hand out tokens. */
public enum ReservationStatus {
  /** The store's answer is awaited. */
  PENDING,
  /** The tokens are reserved for the turn. */
  GRANTED,
  /** The program's budget is spent. */
  EXHAUSTED,
  /** The store could not be asked in time. */
  UNAVAILABLE
}
