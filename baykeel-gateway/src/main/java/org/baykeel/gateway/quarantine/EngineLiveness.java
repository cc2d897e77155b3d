package org.baykeel.gateway.quarantine;

/**
 * Whether the process of an engine still runs. Only {@link #RUNNING} and {@link #ENDED} are proofs;
 * the listener of another process, the queue of an operating system and a paused process accept
 * connections too.
 */
public enum EngineLiveness {
  /** It responds, and is the same engine. */
  RUNNING,
  /** It accepts connections, but does not respond within a short time. */
  ACCEPTING,
  /** It accepts connections and closes them, as a process does that is just ending. */
  CLOSING,
  /** It does not respond, but earlier connections to it are open, which may be about to close. */
  CONNECTED,
  /** Its address refuses connections, or another engine responds there. */
  ENDED,
  /** It does not respond: its machine, or the network to it, may be down. */
  UNKNOWN
}
