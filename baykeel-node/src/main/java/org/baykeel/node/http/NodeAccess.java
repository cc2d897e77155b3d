package org.baykeel.node.http;

import java.util.function.Consumer;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.node.NodeCore;

/** What the HTTP interfaces need of the node. */
public interface NodeAccess {
  /** Runs work on the node's own thread. */
  void execute(Consumer<NodeCore> work);

  /** Notes the start of a caller's request, for its latency. */
  void requestStarted(long requestId);

  /** Notes that a caller's request ends without an answer. */
  void requestCancelled(long requestId);

  /** The time as the node's logic sees it, in epoch milliseconds. */
  long nowMillis();

  /** The configuration in force; may be read from any thread. */
  ConfigurationImage configuration();

  /** Number of shards. */
  int shardCount();

  /** True if callers' requests can be served; may be read from any thread. */
  boolean isReady();

  /** Begins a planned stop. */
  void beginStop();

  /** The metrics in Prometheus' text format. */
  byte[] metrics();
}
