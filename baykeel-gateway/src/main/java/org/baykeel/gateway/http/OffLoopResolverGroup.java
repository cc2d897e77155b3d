package org.baykeel.gateway.http;

import io.netty.resolver.AddressResolver;
import io.netty.resolver.AddressResolverGroup;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;

/**
 * Resolves the addresses of outgoing connections without blocking the event loop, which Netty's
 * default resolver does while a name service does not respond.
 */
final class OffLoopResolverGroup extends AddressResolverGroup<InetSocketAddress> {
  static final OffLoopResolverGroup INSTANCE = new OffLoopResolverGroup();

  private OffLoopResolverGroup() {}

  @Override
  protected AddressResolver<InetSocketAddress> newResolver(EventExecutor executor) {
    return new OffLoopNameResolver(executor).asAddressResolver();
  }
}
