package org.baykeel.gateway.telemetry;

/** Bounds texts of other processes before they are logged. */
public final class LogText {
  private static final int MAX_LENGTH = 64;

  private LogText() {}

  /**
   * Returns the first characters of a text.
   *
   * @param text may be null
   * @return null if the text is null
   */
  public static String bounded(String text) {
    return text == null || text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH);
  }
}
