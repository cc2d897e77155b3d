package org.baykeel.node.http;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** The limiter is shared by all network threads: it must behave as if they took turns. */
public class TestConnectionLimiter {
  private final ConnectionLimiter limiter = new ConnectionLimiter(2);

  /** Number of places taken. */
  @Operation
  public int open() {
    return limiter.open();
  }

  /** Takes a place for good. */
  @Operation
  public boolean take() {
    return limiter.tryAcquire();
  }

  @Test
  void isLinearizable() {
    new ModelCheckingOptions()
        .iterations(20)
        .invocationsPerIteration(500)
        .threads(2)
        .actorsPerThread(2)
        .sequentialSpecification(OneThreadAtATime.class)
        .check(TestConnectionLimiter.class);
  }

  /** The same limiter without concurrency. */
  public static class OneThreadAtATime {
    private static final int MAXIMUM = 2;
    private int open;

    /** Number of places taken. */
    public int open() {
      return open;
    }

    /** Takes a place for good. */
    public boolean take() {
      if (open >= MAXIMUM) {
        return false;
      }
      open++;
      return true;
    }
  }
}
