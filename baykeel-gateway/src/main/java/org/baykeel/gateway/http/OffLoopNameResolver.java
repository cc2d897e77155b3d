package org.baykeel.gateway.http;

import io.netty.resolver.InetNameResolver;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Promise;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.baykeel.gateway.network.IpLiterals;

/**
 * Returns IP addresses at once and looks host names up on a thread of its own, which exists only
 * while there are lookups. Names occur only in the settings, if they could not be resolved at
 * start.
 */
final class OffLoopNameResolver extends InetNameResolver {
  private static final int MAX_WAITING_LOOKUPS = 64;
  private static final long IDLE_THREAD_SECONDS = 1;
  private static final Executor LOOKUPS = lookupThread();

  private final HostLookup lookup;

  /** Looks a host name up, possibly for a long time. */
  interface HostLookup {
    InetAddress[] addressesOf(String host) throws UnknownHostException;
  }

  OffLoopNameResolver(EventExecutor executor) {
    this(executor, InetAddress::getAllByName);
  }

  OffLoopNameResolver(EventExecutor executor, HostLookup lookup) {
    super(executor);
    this.lookup = lookup;
  }

  private static Executor lookupThread() {
    ThreadPoolExecutor thread =
        new ThreadPoolExecutor(
            1,
            1,
            IDLE_THREAD_SECONDS,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(MAX_WAITING_LOOKUPS),
            OffLoopNameResolver::daemonThread);
    thread.allowCoreThreadTimeOut(true);
    return thread;
  }

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "name-lookup");
    thread.setDaemon(true);
    return thread;
  }

  @Override
  protected void doResolve(String host, Promise<InetAddress> promise) {
    Optional<InetAddress> literal = IpLiterals.parse(host);
    if (literal.isPresent()) {
      promise.trySuccess(literal.get());
    } else {
      lookUp(host, promise, addresses -> promise.trySuccess(addresses.get(0)));
    }
  }

  @Override
  protected void doResolveAll(String host, Promise<List<InetAddress>> promise) {
    Optional<InetAddress> literal = IpLiterals.parse(host);
    if (literal.isPresent()) {
      promise.trySuccess(List.of(literal.get()));
    } else {
      lookUp(host, promise, promise::trySuccess);
    }
  }

  private void lookUp(String host, Promise<?> promise, Consumer<List<InetAddress>> found) {
    try {
      LOOKUPS.execute(
          () -> {
            try {
              found.accept(List.of(lookup.addressesOf(host)));
            } catch (UnknownHostException | RuntimeException e) {
              promise.tryFailure(e);
            }
          });
    } catch (RejectedExecutionException e) {
      promise.tryFailure(new UnknownHostException("too many names are being looked up"));
    }
  }
}
