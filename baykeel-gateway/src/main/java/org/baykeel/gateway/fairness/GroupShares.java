package org.baykeel.gateway.fairness;

import java.util.function.Predicate;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.tenancy.LimitUse;

/**
 * The recent demand for starting programs of one group, and the level up to which tenants are
 * admitted in full.
 */
final class GroupShares {
  /** Every tenant gets at least this part of the average share. */
  static final double MIN_PART_OF_MEAN = 0.25;

  /** With fewer observations the mix of tenants is unknown, and all get the same share. */
  private static final double MIN_OBSERVATIONS = 6;

  /**
   * A tenant without recent requests counts with this multiple, since otherwise all such tenants
   * together would be admitted whatever the share.
   */
  private static final double MIN_MULTIPLE = 0.05;

  /** Bisection steps by which the level is found. */
  private static final int BISECTION_STEPS = 30;

  private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

  /** Relative change of the level below which nothing is logged. */
  private static final double MIN_LOGGED_CHANGE = 0.1;

  private final String group;
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final LimitUseSamples samples = new LimitUseSamples();
  private double share = 1;
  private double level = Double.POSITIVE_INFINITY;
  private double loggedLevel = Double.POSITIVE_INFINITY;
  private long loggedNanos;

  /**
   * Creates shares without observations.
   *
   * @param group the name of the group, for the log
   */
  GroupShares(String group, EventLoop eventLoop, GatewayLog log) {
    this.group = group;
    this.eventLoop = eventLoop;
    this.log = log;
    this.loggedNanos = eventLoop.nanoTime() - LOG_INTERVAL_NANOS;
  }

  /** The mean share of the recent tenants that match; 0 if there are none. */
  double meanShare(Predicate<LimitUse> tenants) {
    return samples.mean(multiple -> tenants.test(new LimitUse(multiple)), this::atLevel);
  }

  double shareOf(double shareOfAll, LimitUse limitUse) {
    long now = eventLoop.nanoTime();
    samples.add(limitUse, now);
    share = Math.max(0, Math.min(1, shareOfAll));
    if (share < 1 && samples.count() < MIN_OBSERVATIONS) {
      return share;
    }
    level = share < 1 ? findLevel() : Double.POSITIVE_INFINITY;
    logChange(now);
    return atLevel(limitUse.multiple());
  }

  private double atLevel(double multiple) {
    return shareAt(level, multiple);
  }

  private double shareAt(double candidateLevel, double multiple) {
    double countedMultiple = Math.max(MIN_MULTIPLE, multiple);
    double shareForLevel = countedMultiple <= candidateLevel ? 1 : candidateLevel / countedMultiple;
    return Math.max(MIN_PART_OF_MEAN * share, shareForLevel);
  }

  private double findLevel() {
    double low = 0;
    double high = Math.max(MIN_MULTIPLE, samples.largestMultiple());
    for (int i = 0; i < BISECTION_STEPS; i++) {
      double middle = (low + high) / 2;
      if (samples.mean(multiple -> true, multiple -> shareAt(middle, multiple)) < share) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return high;
  }

  private void logChange(long nowNanos) {
    boolean changed =
        Double.isInfinite(level) || Double.isInfinite(loggedLevel)
            ? level != loggedLevel
            : Math.abs(level - loggedLevel) > MIN_LOGGED_CHANGE * loggedLevel;
    if (!changed || nowNanos - loggedNanos < LOG_INTERVAL_NANOS) {
      return;
    }
    loggedLevel = level;
    loggedNanos = nowNanos;
    int within = samples.count(multiple -> new LimitUse(multiple).withinLimit());
    log.write(
        GatewayEvent.SHARES_CHANGED,
        "level",
        Double.isInfinite(level) ? "none" : Math.round(level * 1_000) / 1e3,
        "share",
        Math.round(share * 1_000) / 1e3,
        "within",
        within,
        "beyond",
        samples.count(multiple -> true) - within,
        "group",
        group);
  }
}
