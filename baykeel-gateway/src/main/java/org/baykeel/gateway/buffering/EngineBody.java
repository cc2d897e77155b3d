package org.baykeel.gateway.buffering;

import java.util.List;

/**
 * The body of a request for engines: arrays that are sent one after the other and are not joined,
 * since most of them are shared with other requests. It is open until its call needs it no more;
 * then it releases the arrays, whoever still refers to the body. Used only from the event loop.
 */
public final class EngineBody {
  private final int length;
  private final Runnable onRelease;
  private List<byte[]> parts;

  /**
   * Creates an open body.
   *
   * @param parts the parts in order; they must not change
   * @param onRelease runs once, when the body is released
   * @throws ArithmeticException if the parts are longer than 2 GiB together
   */
  public EngineBody(List<byte[]> parts, Runnable onRelease) {
    this.parts = List.copyOf(parts);
    this.onRelease = onRelease;
    this.length = Math.toIntExact(parts.stream().mapToLong(part -> part.length).sum());
  }

  /** Returns an open body of one part, which is counted elsewhere. */
  public static EngineBody of(byte[] body) {
    return new EngineBody(List.of(body), () -> {});
  }

  /** Returns the length in bytes, also after the release. */
  public int length() {
    return length;
  }

  /**
   * Returns the parts in order.
   *
   * @throws IllegalStateException if the body is released
   */
  public List<byte[]> parts() {
    if (parts == null) {
      throw new IllegalStateException("the body of " + length + " bytes is released");
    }
    return parts;
  }

  /** Releases the parts; idempotent. */
  public void release() {
    if (parts != null) {
      parts = null;
      onRelease.run();
    }
  }
}
