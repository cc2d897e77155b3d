package org.baykeel.gateway.admission;

import java.util.OptionalDouble;
import org.baykeel.gateway.directory.ServicePerformance;

/**
 * The predicted duration of a program that would start now. Times are in milliseconds.
 *
 * @param ratio the predicted duration divided by the finish target; absent while there are too few
 *     observations
 * @param slackUse the predicted excess over the baseline duration, divided by the slack that the
 *     finish target leaves beyond that baseline; absent like the ratio
 * @param excessWorkMillis the excess of a turn's work over its baseline
 * @param waitMillis how long a turn waits for a slot
 * @param turnMillis the time of a turn, including its wait
 * @param pauseMillis the time between two turns
 * @param turns the number of turns in a program's first conversation
 * @param finishTargetMillis the mean finish target of the route's programs
 */
record DurationPrediction(
    OptionalDouble ratio,
    OptionalDouble slackUse,
    double excessWorkMillis,
    double waitMillis,
    double turnMillis,
    double pauseMillis,
    double turns,
    double finishTargetMillis) {

  /** Lower bound of the slack, as a part of the finish target. */
  private static final double MIN_SLACK = 0.25;

  static DurationPrediction of(
      ProgramProfile profile,
      BaselineTimes baseline,
      ServicePerformance performance,
      double waitMillis,
      long nowNanos) {
    double workMillis = workMillis(performance);
    double pauseMillis = profile.pauseMillis();
    double turns = profile.turnsPerProgram();
    double finishTargetMillis = profile.finishTargetMillis();
    double excessWorkMillis = Math.max(0, workMillis - baseline.work(workMillis));
    OptionalDouble ratio = OptionalDouble.empty();
    OptionalDouble slackUse = OptionalDouble.empty();
    if (profile.hasEnoughObservations(nowNanos)) {
      double baselineMillis =
          durationMillis(turns, baseline.work(workMillis), baseline.pause(pauseMillis));
      double predictedMillis = durationMillis(turns, waitMillis + workMillis, pauseMillis);
      double slack = Math.max(finishTargetMillis * MIN_SLACK, finishTargetMillis - baselineMillis);
      ratio = OptionalDouble.of(predictedMillis / finishTargetMillis);
      slackUse = OptionalDouble.of(Math.max(0, predictedMillis - baselineMillis) / slack);
    }
    return new DurationPrediction(
        ratio,
        slackUse,
        excessWorkMillis,
        waitMillis,
        waitMillis + workMillis,
        pauseMillis,
        turns,
        finishTargetMillis);
  }

  private static double durationMillis(double turns, double turnMillis, double pauseMillis) {
    return turns * turnMillis + (turns - 1) * pauseMillis;
  }

  /** The time of a turn that does not wait, at the present token rate. */
  static double workMillis(ServicePerformance performance) {
    return performance.firstEventMillis()
        + performance.prefillMillis(performance.newTokens())
        + performance.streamMillis();
  }

  /**
   * The remaining time below which a program cannot meet its finish target, since not even one turn
   * would finish. Where a turn of the service is predicted to take longer than half of the finish
   * target, the turns of the route are assumed to be shorter than predicted, and half of the finish
   * target is the bound.
   */
  double minRemainingMillis() {
    return finishTargetMillis > 0 ? Math.min(turnMillis, finishTargetMillis / 2) : turnMillis;
  }

  /**
   * The predicted duration of a whole program.
   *
   * @param defaultMillis the result while there are too few observations
   */
  double programMillis(double defaultMillis) {
    return ratio.isPresent() ? ratio.getAsDouble() * finishTargetMillis : defaultMillis;
  }
}
