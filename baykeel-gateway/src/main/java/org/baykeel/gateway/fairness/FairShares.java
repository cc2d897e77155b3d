package org.baykeel.gateway.fairness;

import java.util.function.Predicate;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.DecisionLog;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.tenancy.LimitUse;

/**
 * Weighted max-min fairness among tenants, by their limits. A tenant that asks for no more than a
 * level, as a multiple of its limit, passes whole; one that asks for more gets the level. The level
 * is the one at which the programs that asked lately are let in as often as all may be, so what
 * some tenants leave goes to the others. Where nobody's use is known, all get the same share.
 *
 * <p>Nothing is agreed on among nodes: each finds the level from what it sees itself.
 */
public final class FairShares implements OpeningShares {
  /** Nobody gets less than this part of what all get on average. */
  static final double LEAST_PART = 0.25;

  /** With fewer observations the mix of tenants is not known. */
  private static final double FEWEST_OBSERVATIONS = 6;

  /** Halvings of the range in which the level lies. */
  private static final int HALVINGS = 30;

  private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

  /** A smaller change of the level is not worth a line. */
  private static final double LOGGED_CHANGE = 0.1;

  private final EventLoop eventLoop;
  private final DecisionLog log;
  private final ObservedUses uses = new ObservedUses();
  private double share = 1;
  private double level = Double.POSITIVE_INFINITY;
  private double loggedLevel = Double.POSITIVE_INFINITY;
  private long loggedNanos;

  /** Creates shares that have seen nobody. */
  public FairShares(EventLoop eventLoop, DecisionLog log, GatewayMetrics metrics) {
    this.eventLoop = eventLoop;
    this.log = log;
    this.loggedNanos = eventLoop.nanoTime() - LOG_INTERVAL_NANOS;
    metrics.gauge(
        "baykeel_gateway_opening_share_within_limit_thousandths",
        () -> meanThousandths(LimitUse::within));
    metrics.gauge(
        "baykeel_gateway_opening_share_beyond_limit_thousandths",
        () -> meanThousandths(use -> !use.within()));
  }

  private long meanThousandths(Predicate<LimitUse> tenants) {
    return Math.round(
        1_000 * uses.mean(multiple -> tenants.test(new LimitUse(multiple)), this::atLevel));
  }

  @Override
  public double shareOf(double shareOfAll, LimitUse use) {
    long now = eventLoop.nanoTime();
    uses.add(use, now);
    share = Math.max(0, Math.min(1, shareOfAll));
    if (share < 1 && uses.count() < FEWEST_OBSERVATIONS) {
      return share;
    }
    level = share < 1 ? findLevel() : Double.POSITIVE_INFINITY;
    logChange(now);
    return atLevel(use.multiple());
  }

  private double atLevel(double multiple) {
    return shareAt(level, multiple);
  }

  private double shareAt(double someLevel, double multiple) {
    double wanted = multiple <= someLevel ? 1 : someLevel / multiple;
    return Math.max(LEAST_PART * share, wanted);
  }

  private double findLevel() {
    double low = 0;
    double high = uses.largestMultiple();
    for (int i = 0; i < HALVINGS; i++) {
      double middle = (low + high) / 2;
      if (uses.mean(multiple -> true, multiple -> shareAt(middle, multiple)) < share) {
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
            : Math.abs(level - loggedLevel) > LOGGED_CHANGE * loggedLevel;
    if (!changed || nowNanos - loggedNanos < LOG_INTERVAL_NANOS) {
      return;
    }
    loggedLevel = level;
    loggedNanos = nowNanos;
    int within = uses.count(multiple -> new LimitUse(multiple).within());
    log.write(
        GatewayEvent.SHARES_CHANGED,
        "level",
        Double.isInfinite(level) ? "none" : Math.round(level * 1_000) / 1e3,
        "share",
        Math.round(share * 1_000) / 1e3,
        "within",
        within,
        "beyond",
        uses.count(multiple -> true) - within);
  }
}
