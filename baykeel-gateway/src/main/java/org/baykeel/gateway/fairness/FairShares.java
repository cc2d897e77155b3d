package org.baykeel.gateway.fairness;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.tenancy.LimitUse;

/**
 * Weighted max-min fairness among tenants, with their limits as weights. A level is a multiple of
 * the limit: a tenant whose demand is at or below the level is admitted in full, and one above it
 * only up to the level. The level is chosen so that, over recent requests, the admitted share on
 * average equals the share that may start; capacity that some tenants do not use goes to the
 * others. Where no tenant's use is known, all get the same share. Each group of programs that
 * compete for the same capacity has its own level.
 *
 * <p>Nodes do not coordinate: each derives the level from the requests that it receives.
 */
public final class FairShares implements AdmissionShares {
  private final EventLoop eventLoop;
  private final GatewayLog log;
  private final Map<String, GroupShares> groups = new HashMap<>();

  /** Creates shares without observations. */
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
