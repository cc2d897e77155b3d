package org.baykeel.node.agent;

import static java.util.Objects.requireNonNull;

import java.util.function.Consumer;
import org.agrona.concurrent.Agent;
import org.agrona.concurrent.AgentRunner;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;
import org.agrona.concurrent.status.AtomicCounter;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.node.NodeCore;
import org.baykeel.node.telemetry.EventLog;

/**
 * Runs a node's logic on one thread. Network threads enqueue what happened; the duty cycle handles
 * it, lets time pass, and sends out what was proposed.
 */
public final class NodeAgent implements Agent {
  private static final int TICK_MILLIS = 10;
  private static final int BATCH_LIMIT = 256;
  private static final AtomicCounter NO_ERROR_COUNTER = null;

  private final ManyToOneConcurrentLinkedQueue<Consumer<NodeCore>> queue =
      new ManyToOneConcurrentLinkedQueue<>();
  private final SignalledIdleStrategy idleStrategy = new SignalledIdleStrategy(TICK_MILLIS);
  private final MonotonicClock clock;
  private final EventLog log;
  private final Runnable afterCycle;
  private NodeCore core;
  private AgentRunner runner;
  private long nextTickMillis;

  /**
   * An agent without a core.
   *
   * @param afterCycle called on the agent's thread after each cycle
   */
  public NodeAgent(MonotonicClock clock, EventLog log, Runnable afterCycle) {
    this.clock = requireNonNull(clock, "clock");
    this.log = requireNonNull(log, "log");
    this.afterCycle = requireNonNull(afterCycle, "afterCycle");
  }

  /** Starts the thread. */
  public void start(NodeCore nodeCore) {
    this.core = requireNonNull(nodeCore, "nodeCore");
    this.runner = new AgentRunner(idleStrategy, this::onError, NO_ERROR_COUNTER, this);
    AgentRunner.startOnThread(runner);
  }

  /** Hands work to the agent's thread. */
  public void execute(Consumer<NodeCore> work) {
    queue.offer(work);
    idleStrategy.signal();
  }

  /** The time as the node's logic sees it. */
  public long nowMillis() {
    return clock.millis();
  }

  @Override
  public int doWork() {
    int work = 0;
    while (work < BATCH_LIMIT) {
      Consumer<NodeCore> next = queue.poll();
      if (next == null) {
        break;
      }
      run(next);
      work++;
    }
    long now = clock.millis();
    if (now >= nextTickMillis) {
      nextTickMillis = now + TICK_MILLIS;
      run(node -> node.tick(now));
      afterCycle.run();
    } else if (work > 0) {
      run(node -> node.endCycle(now));
      afterCycle.run();
    }
    return work;
  }

  /** A fault in one event must not stop the node. */
  private void run(Consumer<NodeCore> work) {
    try {
      work.accept(core);
    } catch (RuntimeException e) {
      onError(e);
    }
  }

  private void onError(Throwable error) {
    StackTraceElement[] trace = error.getStackTrace();
    log.write(LogEvent.INTERNAL_FAULT, error + (trace.length > 0 ? " at " + trace[0] : ""));
  }

  @Override
  public String roleName() {
    return "baykeel-node";
  }

  /** Stops the thread. */
  public void close() {
    if (runner != null) {
      runner.close();
    }
  }
}
