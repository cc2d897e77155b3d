package org.baykeel.gateway.admission;

/**
 * What was decided on a program that asks to begin.
 *
 * @param cause why
 * @param retryMillis when it may ask again; 0 if it may begin
 */
public record AdmissionDecision(Cause cause, long retryMillis) {

  /** Why a program may or may not begin. */
  public enum Cause {
    /** It may begin. */
    ADMITTED("admitted"),
    /** Its end within its aim is not predicted. */
    NO_ROOM("no room"),
    /** Its aim is over before a single turn could end. */
    TOO_LATE("too little time left");

    private final String description;

    Cause(String phrase) {
      this.description = phrase;
    }

    /** The cause in words. */
    public String description() {
      return description;
    }
  }

  /** Whether the program may begin. */
  public boolean admitted() {
    return cause == Cause.ADMITTED;
  }
}
