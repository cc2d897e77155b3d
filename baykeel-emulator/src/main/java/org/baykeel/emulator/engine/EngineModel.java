package org.baykeel.emulator.engine;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An emulated model engine: continuous batching with a token budget for each step, a prefix cache,
 * priorities with preemption, cancel and resume. Deterministic, and driven by given times, so that
 * the same model runs behind HTTP and in virtual time.
 */
public final class EngineModel {
  private static final long KEPT_MICROS = 30_000_000;
  private static final int MICROS_PER_SECOND = 1_000_000;

  private final EngineCosts costs;
  private final long seed;
  private final PrefixCache cache;
  private final List<EngineStream> waiting = new ArrayList<>();
  private final List<EngineStream> batch = new ArrayList<>();
  private final Map<String, EngineStream> streams = new HashMap<>();
  private final Map<String, Long> endedMicros = new HashMap<>();
  private final Map<EngineStream, Integer> stepPrefill = new HashMap<>();
  private long stepEndMicros = -1;
  private long prefilledTokens;
  private long reusedTokens;
  private long generatedTokens;
  private boolean leaving;

  /**
   * An engine with nothing to do.
   *
   * @param seed makes the generated text differ from engine to engine
   */
  public EngineModel(EngineCosts costs, long seed) {
    this.costs = requireNonNull(costs, "costs");
    this.seed = seed;
    this.cache = new PrefixCache(costs.cacheTokens(), costs.blockTokens());
  }

  /** Takes a request, or refuses it because the engine is leaving. */
  public EngineStream submit(
      EngineRequest request, EngineStream.Listener listener, long nowMicros) {
    if (leaving) {
      return null;
    }
    long textSeed = seed * 31 + request.streamId().hashCode();
    EngineStream stream = new EngineStream(request, listener, textSeed, nowMicros);
    streams.put(request.streamId(), stream);
    waiting.add(stream);
    return stream;
  }

  /** The stream with an id, running or lately ended, or null. */
  public EngineStream stream(String streamId) {
    return streams.get(streamId);
  }

  /** Stops a stream. */
  public void cancel(String streamId) {
    EngineStream stream = streams.remove(streamId);
    if (stream != null && !stream.isFinished()) {
      stream.cancel();
      waiting.remove(stream);
      if (batch.remove(stream)) {
        keepPrefix(stream);
      }
    }
  }

  /** Drops what is cached of a program. */
  public void release(String programId) {
    cache.remove(programId);
  }

  /** The programs of which anything is cached. */
  public List<String> cachedPrograms() {
    return cache.programs();
  }

  /** Sequences in the batch. */
  public int running() {
    return batch.size();
  }

  /** Requests in the queue. */
  public int waiting() {
    return waiting.size();
  }

  /** Tokens that the cache could still take without eviction. */
  public long freeCacheTokens() {
    return cache.freeTokens();
  }

  /** Tokens read without help of the cache. */
  public long prefilledTokens() {
    return prefilledTokens;
  }

  /** Tokens of prompts found in the cache. */
  public long reusedTokens() {
    return reusedTokens;
  }

  /** Tokens generated. */
  public long generatedTokens() {
    return generatedTokens;
  }

  /** Takes nothing new from here on. */
  public void leave() {
    leaving = true;
  }

  /** Takes new work, or again. */
  public void serve() {
    leaving = false;
  }

  /** True if the engine takes nothing new. */
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Lets time pass up to the given moment.
   *
   * @return when to call again, or -1 if there is nothing to do
   */
  public long advance(long nowMicros) {
    while (true) {
      if (stepEndMicros < 0) {
        if (!beginStep(nowMicros)) {
          return -1;
        }
      }
      if (stepEndMicros > nowMicros) {
        return stepEndMicros;
      }
      long ended = stepEndMicros;
      finishStep(ended);
      stepEndMicros = -1;
      if (!beginStep(ended)) {
        return -1;
      }
    }
  }

  private boolean beginStep(long startMicros) {
    admit();
    if (batch.isEmpty()) {
      return false;
    }
    stepPrefill.clear();
    int decoding = 0;
    for (EngineStream stream : batch) {
      decoding += stream.prefillLeft() == 0 ? 1 : 0;
    }
    int budget = Math.max(1, costs.stepTokenBudget() - decoding);
    int prefill = planPrefill(budget);
    long prefillMicros = (long) prefill * MICROS_PER_SECOND / costs.prefillTokensPerSecond();
    long sequenceMicros = (long) batch.size() * costs.sequenceMicros();
    stepEndMicros = startMicros + costs.stepMicros() + sequenceMicros + prefillMicros;
    return true;
  }

  private int planPrefill(int budget) {
    int planned = 0;
    for (EngineStream stream : batch) {
      int tokens = Math.min(stream.prefillLeft(), budget - planned);
      if (tokens > 0) {
        stepPrefill.put(stream, tokens);
        planned += tokens;
      }
    }
    return planned;
  }

  private void admit() {
    waiting.sort(
        Comparator.comparingInt((EngineStream stream) -> stream.request().priority())
            .thenComparingLong(EngineStream::arrivedMicros));
    while (!waiting.isEmpty()) {
      EngineStream next = waiting.get(0);
      if (batch.size() >= costs.maximumBatch() && !preemptFor(next)) {
        return;
      }
      waiting.remove(0);
      int cached = cache.lookUp(next.request().programId(), next.request().promptTokens());
      next.admit(cached);
      reusedTokens += cached;
      batch.add(next);
    }
  }

  /** Makes room for a request of a higher priority. */
  private boolean preemptFor(EngineStream next) {
    EngineStream last = null;
    for (EngineStream stream : batch) {
      if (last == null || stream.request().priority() >= last.request().priority()) {
        last = stream;
      }
    }
    if (last == null || last.request().priority() <= next.request().priority()) {
      return false;
    }
    batch.remove(last);
    last.preempt();
    waiting.add(last);
    return true;
  }

  private void finishStep(long nowMicros) {
    for (EngineStream stream : new ArrayList<>(batch)) {
      Integer prefill = stepPrefill.get(stream);
      if (prefill != null) {
        stream.prefill(prefill);
        prefilledTokens += prefill;
      }
      if (stream.prefillLeft() == 0 && batch.contains(stream)) {
        generatedTokens++;
        if (stream.generate()) {
          batch.remove(stream);
          keepPrefix(stream);
          endedMicros.put(stream.request().streamId(), nowMicros);
        }
      }
    }
    forgetEnded(nowMicros);
  }

  private void keepPrefix(EngineStream stream) {
    EngineRequest request = stream.request();
    int tokens = request.promptTokens() + stream.generatedTokens() - request.continuedTokens();
    cache.put(request.programId(), tokens, this::isInUse);
  }

  private boolean isInUse(String programId) {
    for (EngineStream stream : batch) {
      if (stream.request().programId().equals(programId)) {
        return true;
      }
    }
    return false;
  }

  private void forgetEnded(long nowMicros) {
    endedMicros
        .entrySet()
        .removeIf(
            entry -> {
              boolean old = nowMicros - entry.getValue() > KEPT_MICROS;
              if (old) {
                streams.remove(entry.getKey());
              }
              return old;
            });
  }
}
