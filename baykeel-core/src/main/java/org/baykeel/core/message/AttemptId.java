package org.baykeel.core.message;

import static java.util.Objects.requireNonNull;

/**
 * Names one attempt of one call, everywhere and for good. Answers are matched by it, so a late
 * answer of an earlier attempt is never taken for the present one.
 *
 * @param generation the shard's generation: after a loss of a whole group numbers may come again
 */
public record AttemptId(String programId, int callSequence, int attempt, int generation) {
  public AttemptId {
    requireNonNull(programId, "programId");
  }

  @Override
  public String toString() {
    return programId + "." + callSequence + "." + attempt + "." + generation;
  }
}
