package org.baykeel.bench.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baykeel.bench.replay.Promise;

/** Sees only what callers, back ends and operators see, and checks the ten promises against it. */
public final class Observer {
  /** A broken promise. */
  public record Violation(Promise promise, String detail) {}

  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, Integer> runsByKey = new HashMap<>();
  private final Map<String, Integer> latestCallByProgram = new HashMap<>();
  private final Map<String, Long> usedByRoot = new HashMap<>();
  private final Map<String, Long> budgetByRoot = new HashMap<>();
  private final Set<String> givenUpAsNotRun = new HashSet<>();
  private final Set<String> issuedAgain = new HashSet<>();
  private final Set<String> endedPrograms = new HashSet<>();
  private final Map<Integer, Long> versionByNode = new HashMap<>();
  private long acceptedVersion;
  private final Map<Long, String> digestByVersion = new HashMap<>();

  /** Notes a broken promise. */
  void violation(Promise promise, String detail) {
    violations.add(new Violation(promise, detail));
  }

  /** All broken promises. */
  public List<Violation> violations() {
    return List.copyOf(violations);
  }

  /** A program was created; sub-agents spend from their root. */
  void programCreated(String root, long budget) {
    budgetByRoot.putIfAbsent(root, budget);
  }

  /**
   * A caller has sent a call again, or through another node than the calls before it. Its place in
   * the order of issue is then the caller's own doing, and later calls may overtake it.
   */
  void issuedAgain(String program, String key) {
    issuedAgain.add(program + ":" + key);
  }

  /** A back end has begun to run a call; the number is its place in the order of issue. */
  void backendStarted(String program, int callNumber, String key, boolean repeatable) {
    String runKey = program + ":" + key;
    if (!issuedAgain.contains(runKey)) {
      checkOrder(program, callNumber);
    }
    int runs = runsByKey.merge(runKey, 1, Integer::sum);
    if (!repeatable && runs > 1) {
      violation(Promise.AT_MOST_ONCE, runKey + " ran " + runs + " times");
    }
    if (givenUpAsNotRun.contains(runKey)) {
      violation(Promise.NOT_RUN_IS_TRUE, runKey + " ran after it was called not run");
    }
  }

  private void checkOrder(String program, int callNumber) {
    int latest = latestCallByProgram.getOrDefault(program, 0);
    if (callNumber < latest) {
      violation(Promise.ORDER, program + ": call " + callNumber + " began after call " + latest);
    }
    latestCallByProgram.put(program, Math.max(latest, callNumber));
  }

  /** A back end has used resources for a program. */
  void used(String root, long cost) {
    long used = usedByRoot.merge(root, cost, Long::sum);
    Long budget = budgetByRoot.get(root);
    if (budget != null && used > budget) {
      violation(Promise.BUDGET, root + " used " + used + " of " + budget);
    }
  }

  /** A caller was told that its call was not run, and gave it up. */
  void givenUpAsNotRun(String program, String key) {
    String runKey = program + ":" + key;
    givenUpAsNotRun.add(runKey);
    if (runsByKey.containsKey(runKey)) {
      violation(Promise.NOT_RUN_IS_TRUE, runKey + " had run");
    }
  }

  /** A caller was told that its program has ended. */
  void programEnded(String program) {
    endedPrograms.add(program);
  }

  /** An engine caches something of a program, long after all faults. */
  void stillCached(String engine, String program) {
    if (endedPrograms.contains(program)) {
      violation(Promise.ENGINE_MEMORY, engine + " holds " + program);
    }
  }

  /** An operator was told that a configuration is accepted. */
  void accepted(long version, String digest) {
    acceptedVersion = Math.max(acceptedVersion, version);
    String other = digestByVersion.putIfAbsent(version, digest);
    if (other != null && !other.equals(digest)) {
      violation(Promise.CONFIGURATION, "version " + version + " was accepted twice");
    }
  }

  /** A ready node has a configuration in force. */
  void inForce(int nodeId, long version) {
    long before = versionByNode.getOrDefault(nodeId, 0L);
    if (version < before) {
      violation(
          Promise.CONFIGURATION,
          "node " + nodeId + " went back from version " + before + " to " + version);
    }
    versionByNode.put(nodeId, Math.max(before, version));
  }

  /** The highest version that an operator was told is accepted. */
  long acceptedVersion() {
    return acceptedVersion;
  }
}
