package org.baykeel.gateway.scheduling;

import java.util.List;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.directory.ServicePerformance;

/**
 * Keeps streams from engines whose memory can't take them: there a stream is preempted, or another
 * one is, and its prompt is read anew. The penalty grows with what is missing, so that among
 * engines that all lack room the largest streams go where most is left.
 *
 * <p>Says nothing of an engine that does not tell its memory. A stream that belongs to a program
 * stays where the program's earlier turns are kept, as long as it can ever run there: anywhere else
 * its whole prompt would be read anew for certain.
 */
public final class MemoryPolicy implements EnginePolicy {
  /** More than what speaks against an engine that has just failed: it can never run the stream. */
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
   * The own part, which may have given way, and the output. Parts that are shared are kept for
   * other requests as well, also where this process has not seen it.
   */
  private static int requiredTokens(EngineSelector.Criteria criteria) {
    List<PromptPart> prompt = criteria.prompt();
    return prompt.get(prompt.size() - 1).tokens() + criteria.outputTokens();
  }
}
