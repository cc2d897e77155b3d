package org.baykeel.gateway.fairness;

import java.util.Arrays;
import java.util.function.DoublePredicate;
import java.util.function.DoubleUnaryOperator;
import org.baykeel.gateway.tenancy.LimitUse;

/** What the tenants of the last programs that asked to begin here used; older ones count less. */
final class LimitUseSamples {
  private static final int MAX_SAMPLES = 64;

  /**
   * The age at which an observation counts e times less: some programs long, and part of a rush.
   */
  private static final double DECAY_NANOS = 5e9;

  private final double[] multiples = new double[MAX_SAMPLES];
  private final long[] observedNanos = new long[MAX_SAMPLES];
  private final double[] weights = new double[MAX_SAMPLES];
  private int next;
  private int size;

  void add(LimitUse limitUse, long nowNanos) {
    multiples[next] = limitUse.multiple();
    observedNanos[next] = nowNanos;
    next = (next + 1) % MAX_SAMPLES;
    size = Math.min(MAX_SAMPLES, size + 1);
    for (int i = 0; i < size; i++) {
      weights[i] = Math.exp((observedNanos[i] - nowNanos) / DECAY_NANOS);
    }
  }

  /** How many there are, the older ones counting less, as of the last one. */
  double count() {
    return Arrays.stream(weights, 0, size).sum();
  }

  double largestMultiple() {
    return Arrays.stream(multiples, 0, size).max().orElse(0);
  }

  /** How many there are whose multiple is of a class. */
  int count(DoublePredicate multiple) {
    return (int) Arrays.stream(multiples, 0, size).filter(multiple).count();
  }

  /** The weighted mean over all whose multiple is of a class; 0 if there are none. */
  double mean(DoublePredicate multiple, DoubleUnaryOperator value) {
    double sum = 0;
    double weight = 0;
    for (int i = 0; i < size; i++) {
      if (multiple.test(multiples[i])) {
        sum += weights[i] * value.applyAsDouble(multiples[i]);
        weight += weights[i];
      }
    }
    return weight == 0 ? 0 : sum / weight;
  }
}
