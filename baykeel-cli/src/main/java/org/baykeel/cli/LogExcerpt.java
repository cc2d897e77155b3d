package org.baykeel.cli;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Selects the lines of the gateway's log that concern one request, session or program: the lines
 * that contain its identifier, and the context events (changes of a node's own state, of its store,
 * configuration or engines) that the same nodes logged within 3 s of one of these lines.
 */
final class LogExcerpt {
  private static final long CONTEXT_WINDOW_MILLIS = 3_000;
  private static final Set<String> CONTEXT_EVENTS =
      Set.of(
          "GATEWAY_STARTED",
          "GATEWAY_READY",
          "GATEWAY_STOPPING",
          "GATEWAY_STOPPED",
          "CONFIGURATION_IN_FORCE",
          "ENGINES_CHANGED",
          "STORE_LOST",
          "STORE_REGAINED",
          "STORE_PATH_CHANGED",
          "CONFIGURATION_STALE",
          "CONFIGURATION_RECENT",
          "LIMIT_LEASE_TAKEN",
          "LIMIT_LEASE_LOST",
          "LOAD_REPORT_UNAVAILABLE",
          "SHARES_CHANGED",
          "ENGINE_LEFT",
          "ENGINE_RETURNED",
          "ENGINE_RESTARTED",
          "ENGINE_ENTRY_UNUSABLE",
          "ZONE_CORDONED",
          "ZONE_UNCORDONED",
          "ENGINE_COLD",
          "CONNECTION_SILENT",
          "ADMISSION_CHANGED",
          "LINES_DROPPED",
          "FAULT");

  private LogExcerpt() {}

  /**
   * Selects the lines of a request, a session or a program.
   *
   * @param id identifier of the request, session or program
   * @param log lines of any nodes, in any order
   * @return lines ordered by timestamp; empty if no line contains the identifier
   */
  static List<String> of(String id, Stream<String> log) {
    List<LogLine> lines = log.flatMap(text -> LogLine.parse(text).stream()).toList();
    List<LogLine> matchingLines = lines.stream().filter(line -> line.hasFieldValue(id)).toList();
    return lines.stream()
        .filter(line -> line.hasFieldValue(id) || isContext(line, matchingLines))
        .sorted(Comparator.comparingLong(LogLine::timestampMillis))
        .map(LogLine::text)
        .toList();
  }

  private static boolean isContext(LogLine line, List<LogLine> matchingLines) {
    return CONTEXT_EVENTS.contains(line.eventName())
        && matchingLines.stream()
            .anyMatch(
                matching ->
                    matching.node().equals(line.node())
                        && Math.abs(matching.timestampMillis() - line.timestampMillis())
                            <= CONTEXT_WINDOW_MILLIS);
  }
}
