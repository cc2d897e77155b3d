package org.baykeel.gateway.admission;

import java.util.OptionalDouble;
import org.baykeel.gateway.directory.ServicePerformance;

/**
 * What a program would take if it began now. Times are in milliseconds.
 *
 * @param ratio the predicted time in parts of the aim; absent while too little was seen
 * @param slackUse what the program is predicted to take beyond its usual time, in parts of what its
 *     aim leaves beyond it; absent like the ratio
 * @param excessWorkMillis what the work of a turn takes beyond its usual time
 * @param waitMillis the wait of a turn for a place
 * @param turnMillis a turn, its wait included
 * @param pauseMillis the time between two turns
 * @param turns turns of a program's first line
 * @param finishTargetMillis the time within which programs of its kind should be over
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

  /** The least that counts as slack, in parts of the aim. */
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

  /** The time of a turn that does not wait, at the present pace. */
  static double workMillis(ServicePerformance performance) {
    return performance.firstEventMillis()
        + performance.prefillMillis(performance.newTokens())
        + performance.streamMillis();
  }

  /**
   * A program with less time left than this can't end in its aim: not even a turn of its service
   * would. Kinds whose aim is short against such a turn have shorter turns than it.
   */
  double minRemainingMillis() {
    return finishTargetMillis > 0 ? Math.min(turnMillis, finishTargetMillis / 2) : turnMillis;
  }

  /**
   * The predicted time of a whole program.
   *
   * @param defaultMillis stands for it while too little was seen
   */
  double programMillis(double defaultMillis) {
    return ratio.isPresent() ? ratio.getAsDouble() * finishTargetMillis : defaultMillis;
  }
}
