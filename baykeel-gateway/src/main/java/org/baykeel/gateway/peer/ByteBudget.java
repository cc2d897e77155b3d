package org.baykeel.gateway.peer;

/**
 * Bounds the bytes that one purpose sends to other nodes: a steady rate, and what was not used of
 * it up to a limit. Used only from the event loop.
 */
public final class ByteBudget {
  /** Bytes that a datagram takes on a link beyond its content: UDP, IP and Ethernet. */
  private static final int HEADER_BYTES = 46;

  private static final double NANOS_PER_SECOND = 1e9;

  private final double bytesPerNano;
  private final double burstBytes;
  private double availableBytes;
  private long refilledNanos;

  /**
   * Creates a budget with all that it can save.
   *
   * @param bytesPerSecond the steady rate
   * @param burstBytes what may be sent at once after a calm time
   */
  public ByteBudget(long bytesPerSecond, long burstBytes, long nowNanos) {
    this.bytesPerNano = bytesPerSecond / NANOS_PER_SECOND;
    this.burstBytes = burstBytes;
    this.availableBytes = burstBytes;
    this.refilledNanos = nowNanos;
  }

  /**
   * The bytes that a message takes on a link.
   *
   * @param contentBytes the message itself
   */
  public static long wireBytes(int contentBytes) {
    return contentBytes + HEADER_BYTES;
  }

  /** Takes bytes if there are as many; else takes none. */
  public boolean tryConsume(long bytes, long nowNanos) {
    if (available(nowNanos) < bytes) {
      return false;
    }
    availableBytes -= bytes;
    return true;
  }

  /** Takes bytes also if there are not as many; what is missing must be saved first. */
  public void consume(long bytes, long nowNanos) {
    availableBytes = available(nowNanos) - bytes;
  }

  /** The bytes that may be sent now; negative after spending more than there were. */
  public double available(long nowNanos) {
    availableBytes =
        Math.min(burstBytes, availableBytes + (nowNanos - refilledNanos) * bytesPerNano);
    refilledNanos = nowNanos;
    return availableBytes;
  }
}
