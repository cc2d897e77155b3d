package org.baykeel.gateway.quarantine;

/** Whether the process of an engine still runs. */
public enum EngineLiveness {
  /** It responds. */
  RUNNING,
  /** It accepts connections, but does not respond within a short time. */
  ACCEPTING,
  /** It accepts connections and closes them, as a process does that is just ending. */
  CLOSING,
  /** Connections to it are open, which may be about to close. */
  CONNECTED,
  /** Its address refuses connections, or another engine responds there. */
  ENDED,
  /** It does not respond: its machine, or the network to it, may be down. */
  UNKNOWN
}
