package org.baykeel.bench.simulation;

import static java.util.Objects.requireNonNull;

import java.util.SplittableRandom;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;

/** A tool service in virtual time. It runs whatever arrives and never suppresses a repetition. */
final class SimulatedTool {
  /** What the observer sees at the tool service. */
  interface Watcher {
    /** The tool service has begun to run a request. */
    void started(BackendAttempt attempt);
  }

  private static final int SERVICE_MILLIS = 40;
  private static final double REFUSAL_SHARE = 0.02;

  private final VirtualTime time;
  private final SplittableRandom random;
  private final Watcher watcher;
  private int breaking;

  SimulatedTool(VirtualTime time, SplittableRandom random, Watcher watcher) {
    this.time = requireNonNull(time, "time");
    this.random = requireNonNull(random, "random");
    this.watcher = requireNonNull(watcher, "watcher");
  }

  void breaking(boolean begins) {
    breaking += begins ? 1 : -1;
  }

  /** The answer that a request gets: it names the call, so that a crossed answer shows. */
  static Payload answerTo(String programId, Payload body) {
    return Payload.of("done " + programId + " " + body.text());
  }

  void start(BackendAttempt attempt, SimulatedEngine.Client client) {
    if (random.nextDouble() < REFUSAL_SHARE) {
      client.failed(AttemptFailure.NOT_TAKEN);
      return;
    }
    watcher.started(attempt);
    boolean breaks = breaking > 0 && random.nextInt(3) == 0;
    time.afterMillis(
        random.nextInt(SERVICE_MILLIS) + 1,
        () -> {
          if (breaks) {
            client.failed(AttemptFailure.BROKEN);
          } else {
            client.completed(answerTo(attempt.id().programId(), attempt.body()), Usage.NONE);
          }
        });
  }
}
