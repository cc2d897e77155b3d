package org.baykeel.gateway.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.peer.PeerMessageCodec;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.ratelimit.LimitBounds;
import org.baykeel.gateway.ratelimit.LimitedRequest;
import org.baykeel.gateway.ratelimit.PartitionLeases;
import org.baykeel.gateway.ratelimit.PartitionOrder;
import org.baykeel.gateway.ratelimit.RequestKind;
import org.baykeel.gateway.ratelimit.RequestLimiter.Decision;
import org.baykeel.gateway.ratelimit.SharedRequestLimiter;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.StoreClock;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.TableFreshness;
import org.baykeel.gateway.storage.TableWatcher;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.tenancy.ApiKey;
import org.baykeel.gateway.tenancy.KeyAuthenticator;
import org.baykeel.gateway.tenancy.KeyAuthenticator.KeyDecision;
import org.baykeel.gateway.tenancy.ProofExchange;
import org.baykeel.gateway.tenancy.TenantDirectory;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.testing.TestingTenancy;

/**
 * One incarnation of a node, restricted to keys and limits. It can lose power, be paused and be cut
 * off from the store.
 */
final class TenancyNode implements PeerTransport.Receiver {
  /** The offset of the store's clock from that of the simulation. */
  private static final long STORE_OFFSET_MILLIS = 77_777;

  private static final long LOST_MILLIS = 1_000;

  private final PeerAddress address;
  private final TestingEventLoop time;
  private final TestingStore store;
  private final NodeEventLoop loop = new NodeEventLoop();
  private final StoreClock clock = new StoreClock();
  private final TableFreshness freshness = new TableFreshness(loop);
  private final KeyAuthenticator authenticator;
  private final SharedRequestLimiter limiter;
  private final PeerMessageCodec codec = new PeerMessageCodec();
  private final ArrayDeque<Runnable> deferredTasks = new ArrayDeque<>();
  private TenantDirectory directory = TenantDirectory.NONE;
  private OptionalLong version = OptionalLong.empty();
  private boolean dead;
  private boolean paused;
  private boolean cutFromStore;

  /** Returns the tenants of a version of the configuration. */
  interface Catalogue {
    TenantDirectory tenants(String version);
  }

  /**
   * The event loop of the node. Tasks that come due while the process is paused run when it
   * resumes.
   */
  private final class NodeEventLoop implements EventLoop {
    @Override
    public long nanoTime() {
      return time.nanoTime();
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
      boolean[] cancelled = new boolean[1];
      time.schedule(
          delayMillis,
          () ->
              runOrDefer(
                  () -> {
                    if (!cancelled[0]) {
                      task.run();
                    }
                  }));
      return () -> cancelled[0] = true;
    }
  }

  /** The node's connection to the store. */
  private final class StoreConnection implements DurableStore {
    private boolean failIfCut(Consumer<?> answer, Runnable lost) {
      if (cutFromStore) {
        loop.schedule(LOST_MILLIS, lost);
      }
      return cutFromStore;
    }

    @Override
    public void transact(Transaction transaction, Consumer<TransactionOutcome> answer) {
      if (failIfCut(answer, () -> answer.accept(new TransactionOutcome.Unknown("cut")))) {
        return;
      }
      long sent = time.nanoTime();
      store.transact(transaction, outcome -> arrive(sent, answer, outcome));
    }

    @Override
    public void read(RangeRead read, Consumer<ReadOutcome> answer) {
      if (failIfCut(answer, () -> answer.accept(new ReadOutcome.Failed("cut")))) {
        return;
      }
      long sent = time.nanoTime();
      store.read(read, outcome -> arrive(sent, answer, outcome));
    }

    @Override
    public void watch(String table, long after, int wait, Consumer<ReadOutcome> answer) {
      if (failIfCut(answer, () -> answer.accept(new ReadOutcome.Failed("cut")))) {
        return;
      }
      long sent = time.nanoTime();
      store.watch(table, after, wait, outcome -> arrive(sent, answer, outcome));
    }

    private <T> void arrive(long sentNanos, Consumer<T> answer, T outcome) {
      long storeMillis = time.nanoTime() / 1_000_000 + STORE_OFFSET_MILLIS;
      runOrDefer(
          () -> {
            clock.observe(sentNanos, time.nanoTime(), storeMillis);
            answer.accept(outcome);
          });
    }
  }

  TenancyNode(
      PeerAddress address,
      TestingEventLoop time,
      TestingStore store,
      PeerTransport transport,
      Collection<PeerAddress> others,
      Catalogue catalogue,
      Random random) {
    this.address = address;
    this.time = time;
    this.store = store;
    StoreConnection connection = new StoreConnection();
    authenticator = TestingTenancy.authenticator(() -> directory, freshness);
    PartitionLeases leases =
        new PartitionLeases(
            address,
            connection,
            clock,
            loop,
            random.nextLong(),
            new PartitionOrder(address, () -> others),
            (event, fields) -> {});
    limiter =
        new SharedRequestLimiter(
            leases,
            (receiver, datagram) -> {
              if (!dead) {
                transport.send(receiver, datagram);
              }
            },
            codec,
            loop,
            LimitBounds.of(5, 0.1, 20),
            id -> directory.find(id),
            new ProofExchange(() -> version, freshness, clock, loop),
            PeerLatency.ZERO,
            random.nextLong(),
            new GatewayMetrics());
    TableWatcher watcher =
        new TableWatcher(
            "op",
            connection,
            1_500,
            0,
            TableWatcher.Recovery.REREAD,
            (task, millis) -> loop.schedule(millis, task),
            new Configuration(catalogue),
            (event, fields) -> {
              throw new AssertionError(event + Arrays.toString(fields));
            });
    freshness.setCheck(watcher::poll);
    watcher.start();
    limiter.start();
  }

  /** Adopts the versions of the operator's configuration. */
  private final class Configuration implements TableWatcher.Listener {
    private final Catalogue catalogue;

    Configuration(Catalogue catalogue) {
      this.catalogue = catalogue;
    }

    @Override
    public void onSnapshot(List<StoredRow> rows) {
      onChanges(rows);
      freshness.check();
    }

    @Override
    public void onChanges(List<StoredRow> rows) {
      for (StoredRow row : rows) {
        String text = new String(row.value(), StandardCharsets.US_ASCII);
        long offered = Long.parseLong(text);
        if (version.isEmpty() || offered > version.getAsLong()) {
          version = OptionalLong.of(offered);
          directory = catalogue.tenants(text);
        }
      }
    }

    @Override
    public void onCaughtUp(long nanos) {
      freshness.recordProof(nanos);
    }
  }

  private void runOrDefer(Runnable task) {
    if (dead) {
      return;
    }
    if (paused) {
      deferredTasks.add(task);
    } else {
      task.run();
    }
  }

  @Override
  public void receive(PeerAddress sender, byte[] datagram) {
    runOrDefer(
        () -> codec.decode(datagram).ifPresent(message -> limiter.onMessage(sender, message)));
  }

  /**
   * Accepts a request; {@code run} is called if it may run, {@code limited} if the tenant's limit
   * is exceeded.
   */
  void request(ApiKey key, RequestKind kind, Runnable run, Runnable limited) {
    runOrDefer(
        () -> {
          if (version.isPresent()) {
            authenticator.authenticate(
                key,
                time.nanoTime(),
                keyDecision -> onKeyDecision(keyDecision, kind, run, limited));
          }
        });
  }

  private void onKeyDecision(
      KeyDecision keyDecision, RequestKind kind, Runnable run, Runnable limited) {
    if (keyDecision instanceof KeyDecision.Accepted accepted) {
      limiter.decide(
          new LimitedRequest(accepted.tenant(), kind, Optional.empty()),
          900,
          decision -> {
            if (decision instanceof Decision.Allowed) {
              run.run();
            } else if (decision instanceof Decision.Exceeded) {
              limited.run();
            }
          });
    }
  }

  PeerAddress address() {
    return address;
  }

  void setPaused(boolean pause) {
    paused = pause;
    while (!paused && !deferredTasks.isEmpty()) {
      deferredTasks.poll().run();
    }
  }

  boolean paused() {
    return paused;
  }

  void cutFromStore(boolean cut) {
    cutFromStore = cut;
  }

  void stopAsPlanned() {
    runOrDefer(limiter::stop);
  }

  void losePower() {
    dead = true;
  }
}
