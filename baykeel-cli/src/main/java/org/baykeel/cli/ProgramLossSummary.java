package org.baykeel.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Summarizes the programs that ended late or failed, from the log lines of all nodes: one row for
 * each such program, with the cause that took most time beyond its baseline (the median over the
 * calls that spent time on it); the number of these programs by start second, route and loss;
 * totals of all programs by loss and cause; and the resources that the nodes used, by purpose.
 */
final class ProgramLossSummary {
  private static final String USAGE_EVENT = "USAGE";
  private static final Set<String> CALL_END_EVENTS = Set.of("CALL_ENDED", "CALL_REFUSED");
  private static final Set<String> NO_CAPACITY_OUTCOMES =
      Set.of("refused: no room", "refused: too little time left");
  private static final int FIRST_FAILURE_STATUS = 300;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long BUDGET_SPENT_STATUS = 402;
  private static final long UNKNOWN_TURN_STATUS = 404;

  /** How a program ended, derived from the log lines of its calls. */
  enum Loss {
    /** Its last call succeeded and no call ended after the finish time of the program. */
    NONE,
    /** A call ended after the time at which the program should have finished. */
    LATE,
    /** All of its calls were refused at admission, for lack of capacity or of remaining time. */
    NO_ROOM,
    /** Its last call failed. */
    FAILED,
    /** Its last call was refused because the budget is spent. */
    BUDGET,
    /** Its last call named a turn that does not exist. */
    UNKNOWN_TURN
  }

  /**
   * A program and its calls.
   *
   * @param program its identifier
   * @param calls its calls, ordered by the timestamp of their log lines
   * @param loss how it ended
   */
  private record Row(String program, List<LogLine> calls, Loss loss) {}

  private final Map<LossCause, Double> baselineMillis = new EnumMap<>(LossCause.class);
  private final List<Row> rows = new ArrayList<>();

  /** Sums over all usage events, by the name of their field. */
  private final Map<String, Long> usageTotals = new TreeMap<>();

  private long logStartMillis = Long.MAX_VALUE;

  private ProgramLossSummary(Stream<String> log) {
    Map<String, List<LogLine>> byProgram = new TreeMap<>();
    log.flatMap(text -> LogLine.parse(text).stream()).forEach(line -> collect(line, byProgram));
    byProgram.forEach((program, calls) -> rows.add(row(program, calls)));
    for (LossCause cause : LossCause.values()) {
      baselineMillis.put(cause, baselineMillisOf(cause));
    }
  }

  /**
   * Summarizes a log.
   *
   * @param log lines of any nodes, in any order
   * @return a header, a row for each program with a loss, then the totals
   */
  static List<String> of(Stream<String> log) {
    return new ProgramLossSummary(log).lines();
  }

  private void collect(LogLine line, Map<String, List<LogLine>> byProgram) {
    logStartMillis = Math.min(logStartMillis, line.timestampMillis());
    if (line.eventName().equals(USAGE_EVENT)) {
      line.fields()
          .keySet()
          .forEach(purpose -> usageTotals.merge(purpose, line.number(purpose), Long::sum));
    } else if (CALL_END_EVENTS.contains(line.eventName())) {
      line.field("program")
          .ifPresent(
              program ->
                  byProgram.computeIfAbsent(program, unknown -> new ArrayList<>()).add(line));
    }
  }

  private static Row row(String program, List<LogLine> calls) {
    calls.sort(Comparator.comparingLong(LogLine::timestampMillis));
    return new Row(program, calls, loss(calls));
  }

  private static Loss loss(List<LogLine> calls) {
    long lastStatus = calls.get(calls.size() - 1).number("status");
    if (lastStatus == BUDGET_SPENT_STATUS) {
      return Loss.BUDGET;
    }
    if (lastStatus == UNKNOWN_TURN_STATUS) {
      return Loss.UNKNOWN_TURN;
    }
    if (calls.stream().allMatch(ProgramLossSummary::refusedForCapacity)) {
      return Loss.NO_ROOM;
    }
    if (lastStatus <= 0 || lastStatus >= FIRST_FAILURE_STATUS) {
      return Loss.FAILED;
    }
    return calls.stream().anyMatch(ProgramLossSummary::exceedsFinishTime) ? Loss.LATE : Loss.NONE;
  }

  private static boolean refusedForCapacity(LogLine call) {
    return call.field("outcome").filter(NO_CAPACITY_OUTCOMES::contains).isPresent();
  }

  private static boolean exceedsFinishTime(LogLine call) {
    long remainingMillis = call.number("finish_ms");
    return remainingMillis >= 0 && call.number("ms") > remainingMillis;
  }

  private double baselineMillisOf(LossCause cause) {
    if (!cause.hasBaseline()) {
      return 0;
    }
    long[] sorted =
        rows.stream()
            .flatMap(row -> row.calls().stream())
            .mapToLong(cause::millis)
            .filter(millis -> millis > 0)
            .sorted()
            .toArray();
    return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
  }

  private List<String> lines() {
    List<String> lines = new ArrayList<>();
    Map<String, Integer> totals = new TreeMap<>();
    Map<String, Integer> bySecond = new TreeMap<>();
    lines.add("program calls loss cause cause_ms worst_call node status outcome");
    for (Row row : rows) {
      if (row.loss() == Loss.NONE) {
        totals.merge("in time", 1, Integer::sum);
        continue;
      }
      MainCause mainCause = mainCause(row);
      totals.merge(row.loss() + " " + mainCause.cause(), 1, Integer::sum);
      bySecond.merge(startSecondAndLoss(row), 1, Integer::sum);
      lines.add(formatRow(row, mainCause));
    }
    bySecond.forEach((label, count) -> lines.add("begun in second " + label + ": " + count));
    totals.forEach((label, count) -> lines.add("total " + label + ": " + count));
    usageTotals.forEach((label, count) -> lines.add("used " + label + ": " + count));
    return lines;
  }

  /**
   * The second, counted from the first log line, in which a program started; its route and loss.
   */
  private String startSecondAndLoss(Row row) {
    LogLine first = row.calls().get(0);
    long startMillis = first.timestampMillis() - Math.max(0, first.number("ms"));
    long second = Math.max(0, startMillis - logStartMillis) / MILLIS_PER_SECOND;
    return String.format("%4d %s %s", second, first.field("route").orElse("none"), row.loss());
  }

  /**
   * The cause with the largest time beyond its baseline.
   *
   * @param millis the time beyond the baseline, over all calls of the program
   * @param worstCall the call with the longest time due to the cause; for a gap between calls, the
   *     call before the gap
   */
  private record MainCause(LossCause cause, double millis, LogLine worstCall) {}

  private MainCause mainCause(Row row) {
    MainCause largest = longestGap(row);
    for (LossCause cause : LossCause.values()) {
      double excess = 0;
      Optional<LogLine> worst = Optional.empty();
      for (LogLine call : row.calls()) {
        excess += Math.max(0, cause.millis(call) - baselineMillis.get(cause));
        if (worst.isEmpty() || cause.millis(call) > cause.millis(worst.get())) {
          worst = Optional.of(call);
        }
      }
      if (excess > largest.millis()) {
        largest = new MainCause(cause, excess, worst.orElseThrow());
      }
    }
    return largest;
  }

  private static MainCause longestGap(Row row) {
    long longestMillis = 0;
    LogLine precedingCall = row.calls().get(row.calls().size() - 1);
    for (int i = 0; i + 1 < row.calls().size(); i++) {
      LogLine next = row.calls().get(i + 1);
      long gapMillis =
          next.timestampMillis() - next.number("ms") - row.calls().get(i).timestampMillis();
      if (gapMillis > longestMillis) {
        longestMillis = gapMillis;
        precedingCall = row.calls().get(i);
      }
    }
    return new MainCause(LossCause.BETWEEN_CALLS, longestMillis, precedingCall);
  }

  private static String formatRow(Row row, MainCause mainCause) {
    LogLine worst = mainCause.worstCall();
    return String.join(
        " ",
        row.program(),
        String.valueOf(row.calls().size()),
        row.loss().toString(),
        mainCause.cause().toString(),
        String.valueOf(Math.round(mainCause.millis())),
        worst.field("id").orElse("none"),
        worst.node(),
        worst.field("status").orElse("none"),
        '"' + worst.field("outcome").orElse("none") + '"');
  }
}
