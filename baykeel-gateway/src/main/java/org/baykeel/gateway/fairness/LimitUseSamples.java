package org.baykeel.gateway.fairness;

import java.util.Arrays;
import java.util.function.DoublePredicate;
import java.util.function.DoubleUnaryOperator;
import org.baykeel.gateway.tenancy.LimitUse;

/**
 * The limit use of the tenants behind the latest requests to start a program at this node; older
 * ones count less.
 */
final class LimitUseSamples {
  private static final int MAX_SAMPLES = 64;

  /**
   * Time constant of the exponential decay of an observation: several times the duration of a
   * program, and shorter than a burst.
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

  /** The weighted number of observations, as of the last one. */
  double count() {
    return Arrays.stream(weights, 0, size).sum();
  }

  double largestMultiple() {
    return Arrays.stream(multiples, 0, size).max().orElse(0);
  }

  /** The unweighted number of observations whose multiple matches. */
  int count(DoublePredicate multiple) {
    return (int) Arrays.stream(multiples, 0, size).filter(multiple).count();
  }

  /** The weighted mean over the observations whose multiple matches; 0 if there are none. */
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
