package org.baykeel.bench.demo;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import org.baykeel.bench.client.OperatorClient;

/** Strikes a running cluster with one fault. */
final class FaultInjector {
  private static final int BEGIN_MILLIS = 4_000;
  private static final int DURATION_MILLIS = 5_000;
  private static final int STOP_LIMIT_SECONDS = 120;
  private static final int NODE = 1;
  private static final String NODE_NAME = "node-2";

  private final Cluster cluster;
  private final DemoFault fault;
  private final PrintStream out;

  FaultInjector(Cluster cluster, DemoFault fault, PrintStream out) {
    this.cluster = requireNonNull(cluster, "cluster");
    this.fault = requireNonNull(fault, "fault");
    this.out = requireNonNull(out, "out");
  }

  /** Starts a thread that strikes a few seconds later. */
  Thread start() {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(BEGIN_MILLIS);
                strike();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              } catch (IOException e) {
                out.println("fault not struck: " + e.getMessage());
              }
            });
    thread.start();
    return thread;
  }

  private void strike() throws IOException, InterruptedException {
    switch (fault) {
      case KILL_ENGINE -> {
        cluster.process("engine-0").destroyForcibly().waitFor();
        out.println("engine-0 was killed");
      }
      case KILL_NODE -> {
        cluster.process(NODE_NAME).destroyForcibly().waitFor();
        out.println(NODE_NAME + " was killed");
        Thread.sleep(DURATION_MILLIS);
        cluster.startNode(NODE);
        out.println(NODE_NAME + " was started again");
      }
      case FREEZE_NODE -> {
        signal("-STOP");
        out.println(NODE_NAME + " stands still");
        Thread.sleep(DURATION_MILLIS);
        signal("-CONT");
        out.println(NODE_NAME + " goes on");
      }
      case STOP_NODE -> stopNode();
      case STORE_DOWN -> storeFault("down");
      case STORE_LOSES_ANSWERS -> storeFault("loses-answers");
      default -> out.println("no fault");
    }
  }

  private void signal(String name) throws IOException, InterruptedException {
    String pid = Long.toString(cluster.process(NODE_NAME).pid());
    new ProcessBuilder("kill", name, pid).start().waitFor();
  }

  private void stopNode() throws InterruptedException {
    long started = System.nanoTime();
    String address = cluster.nodeAddresses().get(NODE);
    new OperatorClient(address, "").post("/operator/stop", "");
    boolean ended = cluster.process(NODE_NAME).waitFor(STOP_LIMIT_SECONDS, TimeUnit.SECONDS);
    long millis = (System.nanoTime() - started) / 1_000_000;
    out.println(
        NODE_NAME + (ended ? " stopped after " : " has not stopped after ") + millis + " ms");
    cluster.startNode(NODE);
  }

  private void storeFault(String mode) throws InterruptedException {
    OperatorClient platform = new OperatorClient(cluster.platformAddress(), "");
    platform.post("/faults/" + mode, "");
    out.println("the platform: " + mode);
    Thread.sleep(DURATION_MILLIS);
    platform.post("/faults/none", "");
    out.println("the platform answers again");
  }
}
