package org.baykeel.core.message;

/** How an attempt failed, as far as the node that sent it can tell. */
public enum AttemptFailure {
  /** Proved: the back end took nothing (refused, or never reached). */
  NOT_TAKEN,
  /** Proved: the back end took nothing, because it is leaving. */
  LEAVING,
  /** The back end judged the request invalid and did not run it. */
  REJECTED,
  /** The connection broke after the request was sent. */
  BROKEN,
  /** No sign of progress for too long. */
  TIMED_OUT
}
