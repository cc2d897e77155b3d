package org.baykeel.gateway.peer;

/**
 * A token bucket that limits the bytes sent to peers for one purpose. It refills at a steady rate
 * up to a burst size. Used only from the event loop.
 */
public final class ByteBudget {
  /** Bytes per datagram of UDP, IP and Ethernet headers. */
  private static final int HEADER_BYTES = 46;

  private static final double NANOS_PER_SECOND = 1e9;

  private final double bytesPerNano;
  private final double burstBytes;
  private double availableBytes;
  private long refilledNanos;

  /**
   * Creates a budget whose bucket is full.
   *
   * @param bytesPerSecond the refill rate
   * @param burstBytes the most bytes that may be sent in one burst
   */
  public ByteBudget(long bytesPerSecond, long burstBytes, long nowNanos) {
    this.bytesPerNano = bytesPerSecond / NANOS_PER_SECOND;
    this.burstBytes = burstBytes;
    this.availableBytes = burstBytes;
    this.refilledNanos = nowNanos;
  }

  /**
   * Returns the bytes that a datagram occupies on the wire, headers included.
   *
   * @param contentBytes the length of the payload
   */
  public static long wireBytes(int contentBytes) {
    return contentBytes + HEADER_BYTES;
  }

  /** Takes the bytes if the bucket holds as many; otherwise takes none and returns false. */
  public boolean tryConsume(long bytes, long nowNanos) {
    if (available(nowNanos) < bytes) {
      return false;
    }
    availableBytes -= bytes;
    return true;
  }

  /**
   * Takes the bytes unconditionally; the bucket may become negative and then refills from there.
   */
  public void consume(long bytes, long nowNanos) {
    availableBytes = available(nowNanos) - bytes;
  }

  /** Returns the bytes that may be sent now; negative if more was consumed than was available. */
  public double available(long nowNanos) {
    availableBytes =
        Math.min(burstBytes, availableBytes + (nowNanos - refilledNanos) * bytesPerNano);
    refilledNanos = nowNanos;
    return availableBytes;
  }
}
