package org.baykeel.bench.replay;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.baykeel.bench.client.CallerClient;
import org.baykeel.bench.trace.Trace;
import org.baykeel.bench.trace.TraceEvent;

/** Replays a trace against running nodes, in real time. */
public final class TraceReplay {
  private final Trace trace;
  private final CallerClient client;
  private final ReplayLedger ledger;
  private final String runName;
  private final Set<String> programIds = ConcurrentHashMap.newKeySet();
  private final Set<String> endedIds = ConcurrentHashMap.newKeySet();
  private final Map<String, String> operationsByRunKey = new ConcurrentHashMap<>();
  private final Set<String> saidNotRun = ConcurrentHashMap.newKeySet();

  /**
   * A replay.
   *
   * @param runName makes the idempotency keys of this replay its own
   */
  public TraceReplay(Trace trace, CallerClient client, ReplayLedger ledger, String runName) {
    this.trace = requireNonNull(trace, "trace");
    this.client = requireNonNull(client, "client");
    this.ledger = requireNonNull(ledger, "ledger");
    this.runName = requireNonNull(runName, "runName");
  }

  /** Runs all programs to their ends. */
  public void run() throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (Map.Entry<String, List<TraceEvent>> entry : trace.programs().entrySet()) {
      TraceEvent start = entry.getValue().get(0);
      if (start.parent() == null) {
        threads.add(start(entry.getKey(), "", start.atMillis()));
      }
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private Thread start(String name, String parentId, int delayMillis) {
    ProgramReplay program =
        new ProgramReplay(this, name, trace.programs().get(name), parentId, client, ledger);
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(delayMillis);
                program.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "replay-" + name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  Thread startChild(String name, String parentId) {
    return start(name, parentId, 0);
  }

  String runName() {
    return runName;
  }

  void created(String programId) {
    programIds.add(programId);
  }

  void ended(String programId) {
    endedIds.add(programId);
  }

  void toolCalled(String runKey, String operation) {
    operationsByRunKey.put(runKey, operation);
  }

  void saidNotRun(String runKey) {
    saidNotRun.add(runKey);
  }

  /** The programs that were ended. */
  public Set<String> endedPrograms() {
    return Set.copyOf(endedIds);
  }

  /** Checks the tool services' own counts against what the callers were told. */
  public int checkRuns(Map<String, Integer> runs, Set<String> notRepeatable) {
    int nonRepeatableRuns = 0;
    for (Map.Entry<String, Integer> run : runs.entrySet()) {
      String operation = operationsByRunKey.get(run.getKey());
      if (operation == null || !programIds.contains(programOf(run.getKey()))) {
        ledger.violation(Promise.WHOLE_ANSWER, "a run that nobody asked for: " + run.getKey());
      } else if (notRepeatable.contains(operation)) {
        nonRepeatableRuns += run.getValue();
        if (run.getValue() > 1) {
          ledger.violation(Promise.AT_MOST_ONCE, run.getKey() + " ran " + run.getValue());
        }
      }
      if (saidNotRun.contains(run.getKey())) {
        ledger.violation(Promise.NOT_RUN_IS_TRUE, run.getKey());
      }
    }
    return nonRepeatableRuns;
  }

  private static String programOf(String runKey) {
    return runKey.substring(0, runKey.indexOf(':'));
  }

  /** Checks what an engine still caches. */
  public void checkInventory(String engine, List<String> cachedPrograms) {
    for (String programId : cachedPrograms) {
      if (endedIds.contains(programId)) {
        ledger.violation(Promise.ENGINE_MEMORY, engine + " holds " + programId);
      }
    }
  }
}
