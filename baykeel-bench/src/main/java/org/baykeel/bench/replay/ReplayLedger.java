package org.baykeel.bench.replay;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** What an observer has seen during a replay. Thread-safe. */
public final class ReplayLedger {
  private static final int DIGITS = 3;
  private static final String OUTCOME_UNKNOWN = "outcome_unknown";
  private static final int MAXIMUM_DETAILS = 20;

  private final Histogram programMillis = new ConcurrentHistogram(DIGITS);
  private final Histogram toolMillis = new ConcurrentHistogram(DIGITS);
  private final Histogram firstTextMillis = new ConcurrentHistogram(DIGITS);
  private final Map<Promise, Integer> violations = new EnumMap<>(Promise.class);
  private final List<String> details = new ArrayList<>();
  private final Map<String, Integer> refusals = new TreeMap<>();
  private int programs;
  private int completed;
  private int modelCalls;
  private int toolCalls;
  private int retries;
  private long promptTokens;
  private long cachedTokens;
  private long onceCachedTokens;

  synchronized void programStarted() {
    programs++;
  }

  synchronized void programCompleted(long millis) {
    completed++;
    programMillis.recordValue(Math.max(1, millis));
  }

  synchronized void modelCall(int prompt, int cached, int onceCached, long firstMillis) {
    modelCalls++;
    promptTokens += prompt;
    cachedTokens += cached;
    onceCachedTokens += onceCached;
    if (firstMillis >= 0) {
      firstTextMillis.recordValue(Math.max(1, firstMillis));
    }
  }

  synchronized void toolCall(long millis) {
    toolCalls++;
    toolMillis.recordValue(Math.max(1, millis));
  }

  synchronized void retry() {
    retries++;
  }

  synchronized void refusal(String code) {
    refusals.merge(code, 1, Integer::sum);
  }

  /** Notes a broken promise. */
  public synchronized void violation(Promise promise, String detail) {
    violations.merge(promise, 1, Integer::sum);
    if (details.size() < MAXIMUM_DETAILS) {
      details.add(promise + ": " + detail);
    }
  }

  /** Number of broken promises. */
  public synchronized int violations() {
    return violations.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** The first broken promises in words. */
  public synchronized List<String> details() {
    return List.copyOf(details);
  }

  /** Programs begun. */
  public synchronized int programs() {
    return programs;
  }

  /** Programs that ran to their end. */
  public synchronized int completed() {
    return completed;
  }

  /** Model calls answered. */
  public synchronized int modelCalls() {
    return modelCalls;
  }

  /** Calls that must not be repeated and were sent once, with an outcome that nobody knows. */
  public synchronized int outcomesUnknown() {
    return refusals.getOrDefault(OUTCOME_UNKNOWN, 0);
  }

  /** Tool calls answered. */
  public synchronized int toolCalls() {
    return toolCalls;
  }

  /**
   * Tokens that were once in a cache and had to be read again: for each call after a program's
   * first, the history that its last answer left behind, less what the engine found in its cache.
   */
  public synchronized long wastedCacheTokens() {
    return onceCachedTokens;
  }

  /** The report in lines of text. */
  public synchronized List<String> report() {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            "program latency ms: p50=%d p95=%d p99=%d max=%d",
            programMillis.getValueAtPercentile(50),
            programMillis.getValueAtPercentile(95),
            programMillis.getValueAtPercentile(99),
            programMillis.getMaxValue()));
    lines.add(
        String.format(
            "first text ms (streamed): p50=%d p95=%d p99=%d",
            firstTextMillis.getValueAtPercentile(50),
            firstTextMillis.getValueAtPercentile(95),
            firstTextMillis.getValueAtPercentile(99)));
    lines.add(
        String.format(
            "tool call ms: p50=%d p99=%d longest=%d",
            toolMillis.getValueAtPercentile(50),
            toolMillis.getValueAtPercentile(99),
            toolMillis.getMaxValue()));
    double share = promptTokens == 0 ? 0 : 100.0 * onceCachedTokens / promptTokens;
    lines.add(
        String.format(
            "wasted cache: %d of %d prompt tokens read again after they were cached (%.1f%%);"
                + " %d found in a cache",
            onceCachedTokens, promptTokens, share, cachedTokens));
    lines.add("calls answered: model=" + modelCalls + " tool=" + toolCalls + " retries=" + retries);
    lines.add("refusals by kind: " + (refusals.isEmpty() ? "none" : refusals.toString()));
    lines.add("violations by promise: " + (violations.isEmpty() ? "none" : violations));
    lines.addAll(details);
    return lines;
  }
}
