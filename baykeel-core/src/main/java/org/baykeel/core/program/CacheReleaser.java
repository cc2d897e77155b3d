package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.baykeel.core.log.LogEvent;
import org.baykeel.core.message.LogRecord.CacheReleased;
import org.baykeel.core.scheduling.EngineDirectory;

/**
 * Sees to it that engines drop what they cache of ended programs. The release is owed in the
 * replicated state until the engine has confirmed it, so neither a lost message nor a lost leader
 * can lose it. Inventories of the engines bring up what came after a confirmed release.
 */
final class CacheReleaser {
  private static final long RETRY_MILLIS = 1_000;

  private final ProgramShard shard;
  private final EngineDirectory engines;
  private final CoordinatorOutput output;
  private final Map<String, Long> lastTriedMillis = new HashMap<>();

  CacheReleaser(ProgramShard shard, EngineDirectory engines, CoordinatorOutput output) {
    this.shard = requireNonNull(shard, "shard");
    this.engines = requireNonNull(engines, "engines");
    this.output = requireNonNull(output, "output");
  }

  /** Asks again for every release that is owed. */
  void tick(long nowMillis) {
    for (ProgramState program : shard.programs()) {
      if (owesRelease(program)) {
        new ArrayList<>(program.enginesHoldingCache())
            .forEach(engine -> release(engine, program.created().programId(), nowMillis));
      }
    }
  }

  private static boolean owesRelease(ProgramState program) {
    return program.ended() != null
        && !program.enginesHoldingCache().isEmpty()
        && !hasOpenAttempt(program);
  }

  private static boolean hasOpenAttempt(ProgramState program) {
    CallState open = program.openCall();
    return open != null && open.hasOpenAttempt();
  }

  private void release(String engine, String programId, long nowMillis) {
    String address = engines.address(engine);
    String key = engine + " " + programId;
    Long last = lastTriedMillis.get(key);
    boolean due = last == null || nowMillis - last >= RETRY_MILLIS;
    if (address != null && due) {
      lastTriedMillis.put(key, nowMillis);
      output.releaseCache(engine, address, programId);
    }
  }

  /** An engine confirmed that it holds nothing of a program. */
  void onReleased(String engine, String programId) {
    lastTriedMillis.remove(engine + " " + programId);
    ProgramState program = shard.program(programId);
    boolean owed = program != null && program.enginesHoldingCache().contains(engine);
    if (owed && owesRelease(program)) {
      output.propose(new CacheReleased(programId, engine));
      output.event(LogEvent.CACHE_RELEASED, engine, programId);
    }
  }

  /** Compares what an engine says it holds with the programs that live. */
  void onInventory(String engine, Collection<String> programIds, long nowMillis) {
    for (String programId : programIds) {
      ProgramState program = shard.program(programId);
      boolean leftover =
          program == null
              || program.ended() != null
                  && !program.enginesHoldingCache().contains(engine)
                  && !hasOpenAttempt(program);
      if (leftover) {
        output.event(LogEvent.CACHE_LEFTOVER, engine, programId);
        release(engine, programId, nowMillis);
      }
    }
  }

  /** True if any ended program still owes a release. */
  boolean owesAny() {
    return shard.programs().stream().anyMatch(CacheReleaser::owesRelease);
  }
}
