package org.baykeel.gateway.quarantine;

/** Whether a request may be sent to an engine, by the engines that ended while they ran it. */
public enum Verdict {
  /** There is no evidence against the request. */
  CLEAR(true),
  /** Engines ended while they ran it, but other requests may have been the cause. */
  SUSPECT(true),
  /**
   * Engines ended just now while they ran it. It must wait for a short time, in which other nodes
   * report what else these engines ran, and a try that runs elsewhere may complete.
   */
  UNDECIDED(false),
  /**
   * Three engines ended while they ran it or may still end under it, and it is not known whether it
   * is the cause. It must not be sent until fewer of them count, and nothing more is known before.
   */
  HELD(false),
  /** It made several engines end and must not be sent to another one. */
  FATAL(false);

  private final boolean sendable;

  Verdict(boolean sendable) {
    this.sendable = sendable;
  }

  /** Returns whether the request may be sent now. */
  public boolean sendable() {
    return sendable;
  }
}
