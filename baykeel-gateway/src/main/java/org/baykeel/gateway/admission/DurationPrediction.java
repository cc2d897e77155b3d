package org.baykeel.gateway.admission;

import java.util.OptionalDouble;
import org.baykeel.gateway.directory.ServicePerformance;

/**
 * What a program would take if it began now. Times are in milliseconds.
 *
 * @param ratio the predicted time in parts of the aim; absent while too little was seen
 * @param slackUse what the program is predicted to take beyond its usual time, in parts of what its
 *     aim leaves beyond it; absent like the ratio
 * @param slowerMillis what the work of a turn takes beyond its usual time
 * @param waitMillis the wait of a turn for a place
 * @param turnMillis a turn, its wait included
 * @param pauseMillis the time between two turns
 * @param turns turns of a program's first line
 * @param aimMillis the time within which programs of its kind should be over
 */
record DurationPrediction(
    OptionalDouble ratio,
    OptionalDouble slackUse,
    double slowerMillis,
    double waitMillis,
    double turnMillis,
    double pauseMillis,
    double turns,
    double aimMillis) {

  /** The least that counts as slack, in parts of the aim. */
  private static final double LEAST_SLACK = 0.25;

  static DurationPrediction of(
      ProgramProfile profile,
      BaselineTimes usual,
      ServicePerformance performance,
      double waitMillis,
      long nowNanos) {
    double workMillis = workMillis(performance);
    double pauseMillis = profile.pauseMillis();
    double turns = profile.turnsPerProgram();
    double aimMillis = profile.aimMillis();
    double slowerMillis = Math.max(0, workMillis - usual.work(workMillis));
    OptionalDouble ratio = OptionalDouble.empty();
    OptionalDouble slackUse = OptionalDouble.empty();
    if (profile.known(nowNanos)) {
      double usualMillis = time(turns, usual.work(workMillis), usual.pause(pauseMillis));
      double nowMillis = time(turns, waitMillis + workMillis, pauseMillis);
      double slack = Math.max(aimMillis * LEAST_SLACK, aimMillis - usualMillis);
      ratio = OptionalDouble.of(nowMillis / aimMillis);
      slackUse = OptionalDouble.of(Math.max(0, nowMillis - usualMillis) / slack);
    }
    return new DurationPrediction(
        ratio,
        slackUse,
        slowerMillis,
        waitMillis,
        waitMillis + workMillis,
        pauseMillis,
        turns,
        aimMillis);
  }

  private static double time(double turns, double turnMillis, double pauseMillis) {
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
  double leastMillis() {
    return aimMillis > 0 ? Math.min(turnMillis, aimMillis / 2) : turnMillis;
  }

  /**
   * The predicted time of a whole program.
   *
   * @param unknownMillis stands for it while too little was seen
   */
  double programMillis(double unknownMillis) {
    return ratio.isPresent() ? ratio.getAsDouble() * aimMillis : unknownMillis;
  }
}
