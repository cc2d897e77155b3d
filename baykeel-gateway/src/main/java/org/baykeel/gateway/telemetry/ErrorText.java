package org.baykeel.gateway.telemetry;

/** Describes an exception or error in one short line. */
public final class ErrorText {
  private static final int MAX_CHARACTERS = 300;

  private ErrorText() {}

  /** Returns the class and message of an error, shortened, and where it was thrown. */
  public static String of(Throwable error) {
    String text = String.valueOf(error);
    String shortened =
        text.length() <= MAX_CHARACTERS ? text : text.substring(0, MAX_CHARACTERS) + "...";
    StackTraceElement[] frames = error.getStackTrace();
    return frames.length == 0 ? shortened : shortened + " at " + frames[0];
  }
}
