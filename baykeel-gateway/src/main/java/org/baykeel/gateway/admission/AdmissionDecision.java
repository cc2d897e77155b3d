package org.baykeel.gateway.admission;

/**
 * The admission decision on a program.
 *
 * @param cause why it was admitted or refused
 * @param retryMillis when the caller may retry, in milliseconds; 0 if the program was admitted
 */
public record AdmissionDecision(Cause cause, long retryMillis) {

  /** The cause of an admission decision. */
  public enum Cause {
    /** The program may start. */
    ADMITTED("admitted"),
    /** Under load only a share of programs may start, and this one is not among them. */
    NO_ROOM("no room"),
    /** The finish target passes before a single turn could finish. */
    TOO_LATE("too little time left");

    private final String description;

    Cause(String phrase) {
      this.description = phrase;
    }

    /** The cause in words, as it appears in the log. */
    public String description() {
      return description;
    }
  }

  /** Whether the program may start. */
  public boolean admitted() {
    return cause == Cause.ADMITTED;
  }
}
