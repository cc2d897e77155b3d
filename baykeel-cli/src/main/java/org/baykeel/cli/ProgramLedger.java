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
 * What programs lost and why, from the log lines of all nodes: one row for each program that ended
 * late or with a failure, with the cause that took most time beyond what is usual; totals by the
 * second in which programs began and by cause; and what the nodes used, by purpose.
 */
final class ProgramLedger {
  private static final String USAGE = "USAGE";
  private static final Set<String> ENDS = Set.of("CALL_ENDED", "CALL_REFUSED");
  private static final Set<String> NO_ROOM_OUTCOMES =
      Set.of("refused: no room", "refused: too little time left");
  private static final int FIRST_FAILURE_STATUS = 300;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long BUDGET_SPENT = 402;
  private static final long UNKNOWN_TURN = 404;

  /** How a program ended, as far as the log tells. */
  enum Loss {
    /** Its last call was served and within the program's time. */
    NONE,
    /** A call ended after the time at which the program should have been over. */
    LATE,
    /** It was refused before it began, for want of room. */
    NO_ROOM,
    /** Its last call failed. */
    FAILED,
    /** Its last call was told that the budget is spent. */
    BUDGET,
    /** Its last call named a turn that does not exist. */
    UNKNOWN_TURN
  }

  /**
   * One program.
   *
   * @param program its identifier
   * @param calls its calls, in order of time
   * @param loss how it ended
   */
  private record Row(String program, List<LogLine> calls, Loss loss) {}

  private final Map<LossCause, Double> usualMillis = new EnumMap<>(LossCause.class);
  private final List<Row> rows = new ArrayList<>();

  /** What the nodes used in all, by their own words for it. */
  private final Map<String, Long> usage = new TreeMap<>();

  private long firstMillis = Long.MAX_VALUE;

  private ProgramLedger(Stream<String> log) {
    Map<String, List<LogLine>> byProgram = new TreeMap<>();
    log.flatMap(text -> LogLine.parse(text).stream()).forEach(line -> collect(line, byProgram));
    byProgram.forEach((program, calls) -> rows.add(row(program, calls)));
    for (LossCause cause : LossCause.values()) {
      usualMillis.put(cause, usual(cause));
    }
  }

  /**
   * The ledger of a log.
   *
   * @param log lines of any nodes, in any order
   * @return its lines: a row for each program with a loss, then the totals
   */
  static List<String> of(Stream<String> log) {
    return new ProgramLedger(log).lines();
  }

  private void collect(LogLine line, Map<String, List<LogLine>> byProgram) {
    firstMillis = Math.min(firstMillis, line.millis());
    if (line.name().equals(USAGE)) {
      line.fields().keySet().forEach(what -> usage.merge(what, line.number(what), Long::sum));
    } else if (ENDS.contains(line.name())) {
      line.field("program")
          .ifPresent(
              program ->
                  byProgram.computeIfAbsent(program, unknown -> new ArrayList<>()).add(line));
    }
  }

  private static Row row(String program, List<LogLine> calls) {
    calls.sort(Comparator.comparingLong(LogLine::millis));
    return new Row(program, calls, loss(calls));
  }

  private static Loss loss(List<LogLine> calls) {
    long lastStatus = calls.get(calls.size() - 1).number("status");
    if (lastStatus == BUDGET_SPENT) {
      return Loss.BUDGET;
    }
    if (lastStatus == UNKNOWN_TURN) {
      return Loss.UNKNOWN_TURN;
    }
    if (calls.stream().allMatch(ProgramLedger::refusedForRoom)) {
      return Loss.NO_ROOM;
    }
    if (lastStatus <= 0 || lastStatus >= FIRST_FAILURE_STATUS) {
      return Loss.FAILED;
    }
    return calls.stream().anyMatch(ProgramLedger::pastItsTime) ? Loss.LATE : Loss.NONE;
  }

  private static boolean refusedForRoom(LogLine call) {
    return call.field("outcome").filter(NO_ROOM_OUTCOMES::contains).isPresent();
  }

  private static boolean pastItsTime(LogLine call) {
    long left = call.number("finish_ms");
    return left >= 0 && call.number("ms") > left;
  }

  private double usual(LossCause cause) {
    if (!cause.usual()) {
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
      Finding finding = finding(row);
      totals.merge(row.loss() + " " + finding.cause(), 1, Integer::sum);
      bySecond.merge(whenAndWhat(row), 1, Integer::sum);
      lines.add(describe(row, finding));
    }
    bySecond.forEach((what, count) -> lines.add("begun in second " + what + ": " + count));
    totals.forEach((what, count) -> lines.add("total " + what + ": " + count));
    usage.forEach((what, count) -> lines.add("used " + what + ": " + count));
    return lines;
  }

  /** The second of the log in which a program's first call came, its route and its loss. */
  private String whenAndWhat(Row row) {
    LogLine first = row.calls().get(0);
    long begunMillis = first.millis() - Math.max(0, first.number("ms"));
    long second = Math.max(0, begunMillis - firstMillis) / MILLIS_PER_SECOND;
    return String.format("%4d %s %s", second, first.field("route").orElse("none"), row.loss());
  }

  /** What explains a program's loss best. */
  private record Finding(LossCause cause, double millis, LogLine worst) {}

  private Finding finding(Row row) {
    Finding best = betweenCalls(row);
    for (LossCause cause : LossCause.values()) {
      double excess = 0;
      Optional<LogLine> worst = Optional.empty();
      for (LogLine call : row.calls()) {
        excess += Math.max(0, cause.millis(call) - usualMillis.get(cause));
        if (worst.isEmpty() || cause.millis(call) > cause.millis(worst.get())) {
          worst = Optional.of(call);
        }
      }
      if (excess > best.millis()) {
        best = new Finding(cause, excess, worst.orElseThrow());
      }
    }
    return best;
  }

  private static Finding betweenCalls(Row row) {
    long longest = 0;
    LogLine before = row.calls().get(row.calls().size() - 1);
    for (int i = 0; i + 1 < row.calls().size(); i++) {
      LogLine next = row.calls().get(i + 1);
      long gap = next.millis() - next.number("ms") - row.calls().get(i).millis();
      if (gap > longest) {
        longest = gap;
        before = row.calls().get(i);
      }
    }
    return new Finding(LossCause.BETWEEN_CALLS, longest, before);
  }

  private static String describe(Row row, Finding finding) {
    LogLine worst = finding.worst();
    return String.join(
        " ",
        row.program(),
        String.valueOf(row.calls().size()),
        row.loss().toString(),
        finding.cause().toString(),
        String.valueOf(Math.round(finding.millis())),
        worst.field("id").orElse("none"),
        worst.node(),
        worst.field("status").orElse("none"),
        '"' + worst.field("outcome").orElse("none") + '"');
  }
}
