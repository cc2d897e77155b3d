package org.baykeel.core.error;

/** Whether a refused or failed request ran at a back end. */
public enum Execution {
  /** Proved: no back end took the request. */
  NOT_RUN,
  /** The request ran, or part of it did. */
  RAN,
  /** Nobody can prove whether the request ran. */
  UNKNOWN
}
