package org.baykeel.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.ShardRoute;

/**
 * Which member leads which shard, as far as this node has heard. A hint: a member that does not
 * lead says so, and only a leader with a quorum can commit.
 */
public final class ShardRoutes {
  private static final long MIX = 0x9E3779B97F4A7C15L;

  private final Map<Integer, ShardRoute> routes = new TreeMap<>();
  private long digest;

  /** Takes in a route if it is newer; returns whether it was. */
  public boolean update(ShardRoute route) {
    int shard = route.group().shard();
    ShardRoute present = routes.get(shard);
    if (present != null && !route.isNewerThan(present)) {
      return false;
    }
    routes.put(shard, route);
    digest ^= hash(route);
    if (present != null) {
      digest ^= hash(present);
    }
    return true;
  }

  /** The leader of a shard, or {@link MemberId#NONE}. */
  public MemberId leader(int shard) {
    ShardRoute route = routes.get(shard);
    return route == null ? MemberId.NONE : route.leader();
  }

  /** The route of a shard, or null. */
  public ShardRoute route(int shard) {
    return routes.get(shard);
  }

  /** True if no route is known. */
  public boolean isEmpty() {
    return routes.isEmpty();
  }

  /** All routes, by shard. */
  public List<ShardRoute> all() {
    return new ArrayList<>(routes.values());
  }

  /** Equal on two nodes that know the same routes; independent of the order of updates. */
  public long digest() {
    return digest;
  }

  private static long hash(ShardRoute route) {
    long value = route.group().shard() * MIX;
    value = (value ^ route.group().generation()) * MIX;
    value = (value ^ route.term()) * MIX;
    value = (value ^ route.leader().nodeId()) * MIX;
    value = (value ^ route.leader().incarnation()) * MIX;
    return value ^ (value >>> 29);
  }
}
