package org.baykeel.gateway.fairness;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.tenancy.LimitUse;

/**
 * Weighted max-min fairness among tenants, by their limits. A tenant that asks for no more than a
 * level, as a multiple of its limit, passes whole; one that asks for more gets the level. The level
 * is the one at which the programs that asked lately are let in as often as all may be, so what
 * some tenants leave goes to the others. Where nobody's use is known, all get the same share. Each
 * group of programs that compete for the same room has a level of its own.
 *
 * <p>Nothing is agreed on among nodes: each finds the level from what it sees itself.
 */
public final class FairShares implements AdmissionShares {
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final Map<String, GroupShares> groups = new HashMap<>();

  /** Creates shares that have seen nobody. */
  public FairShares(EventLoop eventLoop, GatewayLog log, GatewayMetrics metrics) {
    this.eventLoop = eventLoop;
    this.log = log;
    metrics.gauge(
        "baykeel_gateway_opening_share_within_limit_thousandths",
        () -> meanShareThousandths(LimitUse::withinLimit));
    metrics.gauge(
        "baykeel_gateway_opening_share_beyond_limit_thousandths",
        () -> meanShareThousandths(limitUse -> !limitUse.withinLimit()));
  }

  private long meanShareThousandths(Predicate<LimitUse> tenants) {
    double mean =
        groups.values().stream().mapToDouble(group -> group.meanShare(tenants)).average().orElse(0);
    return Math.round(1_000 * mean);
  }

  @Override
  public double shareOf(String group, double shareOfAll, LimitUse limitUse) {
    return groups
        .computeIfAbsent(group, name -> new GroupShares(name, eventLoop, log))
        .shareOf(shareOfAll, limitUse);
  }
}
