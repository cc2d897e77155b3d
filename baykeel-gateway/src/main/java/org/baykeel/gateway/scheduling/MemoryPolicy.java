package org.baykeel.gateway.scheduling;

import java.util.List;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.directory.ServicePerformance;

/**
 * Penalizes engines whose free memory is too small for a stream: there the stream or another one
 * would be preempted and its prompt prefilled again. The penalty grows with the missing memory, so
 * that among engines that all have too little, the largest streams go to the one with the most free
 * memory.
 *
 * <p>Does not apply to an engine that does not report its memory. A stream with a home key has no
 * penalty as long as the engine could ever run it, so that it stays where the earlier turns of its
 * program are cached: at any other engine its whole prompt would certainly be prefilled again.
 */
public final class MemoryPolicy implements EnginePolicy {
  /**
   * More than the penalty for an engine that has just failed, since the engine can never run the
   * stream.
   */
  private static final double NEVER_FITS_PENALTY_MILLIS = 200_000;

  @Override
  public boolean allows(Engine engine, EngineSelector.Criteria criteria, long nowNanos) {
    return true;
  }

  @Override
  public double penaltyMillis(Engine engine, EngineSelector.Criteria criteria, long nowNanos) {
    long totalTokens = engine.load().totalTokens(nowNanos);
    if (totalTokens <= 0 || criteria.prompt().isEmpty()) {
      return 0;
    }
    int promptTokens = PromptPart.totalTokens(criteria.prompt());
    if (promptTokens + criteria.outputTokens() > totalTokens) {
      return NEVER_FITS_PENALTY_MILLIS;
    }
    if (criteria.homeKey() != null) {
      return 0;
    }
    double freeTokens = (1 - engine.load().memoryShare(nowNanos)) * totalTokens;
    double requiredTokens = requiredTokens(criteria);
    if (requiredTokens <= freeTokens) {
      return 0;
    }
    ServicePerformance performance = engine.performance();
    double preemptedMillis = performance.prefillMillis(promptTokens) + performance.streamMillis();
    return preemptedMillis * (1 + (requiredTokens - freeTokens) / requiredTokens);
  }

  /**
   * Returns the tokens of the last part of the prompt, which may have been evicted, and of the
   * output. The other parts are shared and are assumed to be cached for other requests, even if
   * this node has not observed that.
   */
  private static int requiredTokens(EngineSelector.Criteria criteria) {
    List<PromptPart> prompt = criteria.prompt();
    return prompt.get(prompt.size() - 1).tokens() + criteria.outputTokens();
  }
}
