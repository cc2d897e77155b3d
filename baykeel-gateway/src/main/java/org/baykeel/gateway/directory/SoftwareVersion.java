package org.baykeel.gateway.directory;

/**
 * The version of an engine's software, as its entry gives it. Versions are compared for equality
 * only: they have no order.
 *
 * @param text the version; empty if the entry gives none
 */
public record SoftwareVersion(String text) {

  /** The version of engines whose entries give none. */
  public static final SoftwareVersion UNSTATED = new SoftwareVersion("");

  /**
   * Implemented by hand because the generated methods of a record are linked at run time, which
   * delays each process start.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof SoftwareVersion version && text.equals(version.text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  @Override
  public String toString() {
    return text.isEmpty() ? "unstated" : text;
  }
}
