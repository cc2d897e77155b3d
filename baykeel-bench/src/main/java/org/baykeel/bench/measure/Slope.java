package org.baykeel.bench.measure;

import java.util.Locale;

/**
 * A straight line through measured points, by least squares.
 *
 * @param slope growth of y for one more x
 * @param intercept y at x = 0
 * @param worstError largest distance of a point from the line, as a share of the point
 */
public record Slope(double slope, double intercept, double worstError) {

  /** The line through points. */
  public static Slope fit(double[] x, double[] y) {
    double meanX = mean(x);
    double meanY = mean(y);
    double covariance = 0;
    double variance = 0;
    for (int i = 0; i < x.length; i++) {
      covariance += (x[i] - meanX) * (y[i] - meanY);
      variance += (x[i] - meanX) * (x[i] - meanX);
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    double intercept = meanY - slope * meanX;
    double worst = 0;
    for (int i = 0; i < x.length; i++) {
      double distance = Math.abs(y[i] - (intercept + slope * x[i]));
      worst = Math.max(worst, y[i] == 0 ? 0 : distance / Math.abs(y[i]));
    }
    return new Slope(slope, intercept, worst);
  }

  private static double mean(double[] values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum / values.length;
  }

  /** The value on the line. */
  public double at(double x) {
    return intercept + slope * x;
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "slope=%.4g intercept=%.4g worst error=%.1f%%",
        slope,
        intercept,
        100 * worstError);
  }
}
