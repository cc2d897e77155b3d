package org.baykeel.gateway.history;

/**
 * The limits of the memory for stored turns.
 *
 * @param nodeBytes the limit for all turns in memory, in bytes
 * @param idleBytes the limit for those that no call continues, in bytes
 */
public record ConversationBounds(long nodeBytes, long idleBytes) {
  /** The part of the heap for stored turns is 1 / HEAP_DIVISOR. */
  private static final int HEAP_DIVISOR = 5;

  private static final long DEFAULT_IDLE_BYTES = 16L << 20;

  /** The part of the limit that only short conversations may use is 1 / RESERVE_DIVISOR. */
  private static final int RESERVE_DIVISOR = 4;

  /** A conversation of up to 1 / SHORT_DIVISOR of the limit is a short one. */
  private static final int SHORT_DIVISOR = 16;

  /** The limits of a node without other settings, which follow from its heap. */
  public static final ConversationBounds DEFAULT =
      ofNode(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);

  /** Checks the limits. */
  public ConversationBounds {
    if (nodeBytes <= 0 || idleBytes < 0 || idleBytes > nodeBytes) {
      throw new IllegalArgumentException(
          "the limit must be positive, and that of idle turns at most as large");
    }
  }

  /** Returns the limits of a node with some bytes for all turns in memory. */
  public static ConversationBounds ofNode(long nodeBytes) {
    return new ConversationBounds(nodeBytes, Math.min(DEFAULT_IDLE_BYTES, nodeBytes));
  }

  /** The limit for all conversations but the short ones in the reserve; also that of each one. */
  long sharedBytes() {
    return nodeBytes - reserveBytes();
  }

  /** The limit for short conversations that do not wait for longer ones. */
  long reserveBytes() {
    return nodeBytes / RESERVE_DIVISOR;
  }

  boolean isShort(long bytes) {
    return bytes <= nodeBytes / SHORT_DIVISOR;
  }
}
