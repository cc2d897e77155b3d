package org.baykeel.gateway.peer;

/**
 * Bounds the bytes that one purpose sends to other nodes: a steady rate, and what was not used of
 * it up to a limit. Used only from the event loop.
 */
public final class ByteBudget {
  /** Bytes that a datagram takes on a link beyond its content: UDP, IP and Ethernet. */
  private static final int OVERHEAD_BYTES = 46;

  private static final double NANOS_PER_SECOND = 1e9;

  private final double bytesPerNano;
  private final double maxSavedBytes;
  private double savedBytes;
  private long savedAtNanos;

  /**
   * Creates a budget with all that it can save.
   *
   * @param bytesPerSecond the steady rate
   * @param maxSavedBytes what may be sent at once after a calm time
   */
  public ByteBudget(long bytesPerSecond, long maxSavedBytes, long nowNanos) {
    this.bytesPerNano = bytesPerSecond / NANOS_PER_SECOND;
    this.maxSavedBytes = maxSavedBytes;
    this.savedBytes = maxSavedBytes;
    this.savedAtNanos = nowNanos;
  }

  /**
   * The bytes that a message takes on a link.
   *
   * @param contentBytes the message itself
   */
  public static long wireBytes(int contentBytes) {
    return contentBytes + OVERHEAD_BYTES;
  }

  /** Takes bytes if there are as many; else takes none. */
  public boolean tryConsume(long bytes, long nowNanos) {
    if (available(nowNanos) < bytes) {
      return false;
    }
    savedBytes -= bytes;
    return true;
  }

  /** Takes bytes also if there are not as many; what is missing must be saved first. */
  public void consume(long bytes, long nowNanos) {
    savedBytes = available(nowNanos) - bytes;
  }

  /** The bytes that may be sent now; negative after spending more than there were. */
  public double available(long nowNanos) {
    savedBytes = Math.min(maxSavedBytes, savedBytes + (nowNanos - savedAtNanos) * bytesPerNano);
    savedAtNanos = nowNanos;
    return savedBytes;
  }
}
