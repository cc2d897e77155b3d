package org.baykeel.gateway.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.ratelimit.RequestKind;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.tenancy.ApiKey;
import org.baykeel.gateway.tenancy.RateLimit;
import org.baykeel.gateway.tenancy.Tenant;
import org.baykeel.gateway.tenancy.TenantDirectory;
import org.baykeel.gateway.tenancy.TenantId;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingPeerNetwork;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.testing.TestingStore.Fault;
import org.junit.jupiter.api.Test;

/**
 * Runs nodes with the real state machines, message codec and store rows of keys and limits in
 * virtual time, from a seed. An external observer counts the requests that run, by tenant and by
 * key. Guards against requests that run with a revoked key or beyond the tenant's limit.
 */
class TestTenancySimulation {
  /** The number of schedules of one run; {@code -Dtenancy.schedules=10000} sets a long run. */
  private static final int SCHEDULES = Integer.getInteger("tenancy.schedules", 60);

  private static final int NODES = 5;
  private static final int STEPS = 1_500;
  private static final long STEP_MILLIS = 10;
  private static final long REVOCATION_NANOS = 5_000_000_000L;
  private static final long WINDOW_NANOS = 5_000_000_000L;
  private static final double OVERAGE = 1.1;
  private static final double SLACK = 20;
  private static final RowAddress CONFIGURATION = new RowAddress("op", "", "config");

  /** A tenant of the schedules: its rate, its burst, and its demand in multiples of its limit. */
  private record Profile(String name, double rate, double burst, double load) {}

  private static final List<Profile> PROFILES =
      List.of(
          new Profile("large", 60, 60, 0.6),
          new Profile("hot", 30, 30, 4),
          new Profile("small", 4, 4, 0.6),
          new Profile("tiny", 0.5, 1, 3),
          new Profile("free", 0, 0, 0));

  /** One schedule of requests and faults. */
  private static final class Schedule {
    private final int seed;
    private final Random random;
    private final boolean withoutFaults;
    private final TestingEventLoop time = new TestingEventLoop();
    private final TestingStore store = new TestingStore(time);
    private final TestingPeerNetwork network = new TestingPeerNetwork(time);
    private final Map<Integer, TenancyNode> nodes = new HashMap<>();
    private final Map<Long, TenantDirectory> versions = new HashMap<>();
    private final Map<String, Set<String>> keys = new TreeMap<>();
    private final Map<String, Long> removedNanos = new HashMap<>();
    private final Map<String, List<long[]>> runs = new TreeMap<>();
    private final Map<String, Integer> requested = new HashMap<>();
    private final Map<String, Integer> limited = new HashMap<>();
    private long version;
    private long feedSuppressedNanos;

    Schedule(int seed, boolean withoutFaults) {
      this.seed = seed;
      this.random = new Random(seed);
      this.withoutFaults = withoutFaults;
      for (Profile profile : PROFILES) {
        keys.put(
            profile.name(), new HashSet<>(Set.of(profile.name() + "-1", profile.name() + "-2")));
      }
      writeConfiguration();
      time.advance(50);
      for (int i = 0; i < NODES; i++) {
        start(i);
      }
      time.advance(4_000);
    }

    private static PeerAddress address(int node) {
      return new PeerAddress("10.0.0." + node, 7_000);
    }

    private void start(int i) {
      List<PeerAddress> others = new ArrayList<>();
      for (int other = 0; other < NODES; other++) {
        if (other != i) {
          others.add(address(other));
        }
      }
      TenancyNode node =
          new TenancyNode(
              address(i),
              time,
              store,
              network.transportOf(address(i)),
              others,
              text -> versions.get(Long.parseLong(text)),
              new Random(random.nextLong()));
      nodes.put(i, node);
      network.attach(address(i), node);
    }

    /** Writes a new version of the operator's configuration. */
    private void writeConfiguration() {
      version++;
      TenantDirectory.Builder builder = new TenantDirectory.Builder();
      for (Profile profile : PROFILES) {
        List<ApiKey> held = keys.get(profile.name()).stream().map(ApiKey::new).toList();
        builder.add(
            new Tenant(
                new TenantId(profile.name()),
                OptionalInt.empty(),
                new RateLimit(profile.rate(), profile.burst())),
            held);
      }
      versions.put(version, builder.build());
      store.put(CONFIGURATION, String.valueOf(version).getBytes(StandardCharsets.US_ASCII));
    }

    void run() {
      for (int step = 0; step < STEPS; step++) {
        if (!withoutFaults) {
          injectFault();
        }
        PROFILES.forEach(this::load);
        time.advance(STEP_MILLIS);
      }
    }

    private void load(Profile profile) {
      double mean =
          profile.rate() == 0 ? 0.3 : profile.rate() * profile.load() * STEP_MILLIS / 1_000;
      for (double remaining = mean; remaining > 0; remaining--) {
        if (random.nextDouble() < remaining) {
          send(profile);
        }
      }
    }

    private void send(Profile profile) {
      String key = profile.name() + '-' + (1 + random.nextInt(2));
      int node = random.nextInt(NODES);
      RequestKind kind = random.nextInt(4) == 0 ? RequestKind.FIRST_TURN : RequestKind.CONTINUING;
      long sent = time.nanoTime();
      requested.merge(profile.name(), 1, Integer::sum);
      time.schedule(
          random.nextInt(20),
          () ->
              nodes
                  .get(node)
                  .request(
                      new ApiKey(key),
                      kind,
                      () -> ran(profile, key, sent),
                      () -> limited.merge(profile.name(), 1, Integer::sum)));
    }

    private void ran(Profile profile, String key, long sent) {
      Long removed = removedNanos.get(key);
      assertTrue(
          removed == null || sent <= removed + REVOCATION_NANOS,
          () ->
              "seed "
                  + seed
                  + ": "
                  + key
                  + " ran although it was revoked "
                  + (sent - removed) / 1e6
                  + " ms before");
      runs.computeIfAbsent(profile.name(), name -> new ArrayList<>())
          .add(new long[] {sent, time.nanoTime()});
    }

    private void injectFault() {
      int roll = random.nextInt(1_000);
      int node = random.nextInt(NODES);
      if (roll < 6) {
        store.fault(Fault.values()[random.nextInt(Fault.values().length)]);
      } else if (roll < 16) {
        store.fault(Fault.NONE);
        store.failReads(random.nextInt(3) == 0);
      } else if (roll < 22) {
        restart(node, random.nextInt(2_000));
      } else if (roll < 23) {
        for (int i = 0; i < NODES; i++) {
          restart(i, 300);
        }
      } else if (roll < 26) {
        nodes.get(node).stopAsPlanned();
        time.schedule(400, () -> restart(node, 100));
      } else if (roll < 34) {
        nodes.get(node).setPaused(!nodes.get(node).paused());
      } else if (roll < 42) {
        nodes.get(node).cutFromStore(random.nextBoolean());
      } else if (roll < 48) {
        network.cut(address(node), address(random.nextInt(NODES)), random.nextBoolean());
      } else if (roll < 52) {
        network.lose(random.nextInt(3) * 0.2, new Random(random.nextLong()));
      } else if (roll < 53 && time.nanoTime() - feedSuppressedNanos > 2 * WINDOW_NANOS) {
        feedSuppressedNanos = time.nanoTime();
        store.suppressFeed(1_000);
      } else if (roll < 60) {
        revoke();
      }
    }

    private void restart(int node, long downMillis) {
      TenancyNode previous = nodes.get(node);
      previous.losePower();
      network.detach(address(node));
      time.schedule(
          downMillis,
          () -> {
            if (nodes.get(node) == previous) {
              start(node);
            }
          });
    }

    private void revoke() {
      Profile profile = PROFILES.get(random.nextInt(PROFILES.size()));
      String key = profile.name() + '-' + (1 + random.nextInt(2));
      Set<String> held = keys.get(profile.name());
      if (held.size() > 1 && held.remove(key)) {
        writeConfiguration();
        removedNanos.put(key, time.nanoTime());
      }
    }

    void checkLimits(String seed) {
      for (Profile profile : PROFILES) {
        if (profile.rate() > 0) {
          checkWindows(seed, profile, runs.getOrDefault(profile.name(), List.of()));
        }
      }
    }

    /** Checks, for every window, the number of requests that were both sent and run within it. */
    private static void checkWindows(String seed, Profile profile, List<long[]> requests) {
      double allowed = (profile.rate() * 5 + profile.burst()) * OVERAGE + SLACK;
      List<long[]> bySent = new ArrayList<>(requests);
      bySent.sort((a, b) -> Long.compare(a[0], b[0]));
      for (int first = 0; first < bySent.size(); first++) {
        long end = bySent.get(first)[0] + WINDOW_NANOS;
        int count = 0;
        for (int i = first; i < bySent.size() && bySent.get(i)[0] <= end; i++) {
          if (bySent.get(i)[1] <= end) {
            count++;
          }
        }
        assertTrue(
            count <= allowed, seed + ": " + profile.name() + " ran " + count + " of " + allowed);
      }
    }
  }

  @Test
  void keyAndTenantLimitsHoldUnderFaults() {
    int ran = 0;
    for (int seed = 0; seed < SCHEDULES; seed++) {
      Schedule schedule = new Schedule(seed, false);
      schedule.run();
      schedule.checkLimits("seed " + seed);
      ran += schedule.runs.values().stream().mapToInt(List::size).sum();
    }
    assertTrue(ran > SCHEDULES * 300, "too few requests ran: " + ran);
  }

  @Test
  void withoutFaultsNothingBelowALimitIsRefused() {
    Schedule schedule = new Schedule(1, true);
    schedule.run();
    schedule.checkLimits("without faults");
    for (String name : List.of("large", "small", "free")) {
      assertEquals(0, schedule.limited.getOrDefault(name, 0), name);
      int ran = schedule.runs.get(name).size();
      assertTrue(ran > 0.95 * schedule.requested.get(name), name + " ran " + ran);
    }
    int hotRan = schedule.runs.get("hot").size();
    double seconds = STEPS * STEP_MILLIS / 1e3;
    assertTrue(
        hotRan > 30 * seconds * 0.9, "the hot tenant gets less than its limit allows: " + hotRan);
    assertTrue(schedule.limited.get("hot") > 0);
  }
}
