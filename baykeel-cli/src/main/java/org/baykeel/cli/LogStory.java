package org.baykeel.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The lines of the gateway's log that tell the story of one request or program: its own, and what
 * the nodes that served it learnt about their dependencies around that time.
 */
final class LogStory {
  private static final long CONTEXT_MILLIS = 3_000;
  private static final Pattern LINE =
      Pattern.compile("t=(\\d+) event=(\\d+) name=(\\S+) node=(\\S+)(.*)");
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
          "LINES_DROPPED",
          "FAULT");

  /** One line of a log. */
  private record Line(long millis, String name, String node, String text) {
    boolean tellsOf(String id) {
      return (text + " ").contains("=" + id + " ");
    }
  }

  private LogStory() {}

  /**
   * The story of a request, a session or a program.
   *
   * @param id its identifier
   * @param log lines of any nodes, in any order
   * @return lines in order of time; empty if none tells of it
   */
  static List<String> of(String id, Stream<String> log) {
    List<Line> lines = new ArrayList<>();
    log.forEach(
        text -> {
          Matcher matcher = LINE.matcher(text);
          if (matcher.find()) {
            long millis = Long.parseLong(matcher.group(1));
            lines.add(new Line(millis, matcher.group(3), matcher.group(4), matcher.group()));
          }
        });
    List<Line> own = lines.stream().filter(line -> line.tellsOf(id)).toList();
    return lines.stream()
        .filter(line -> line.tellsOf(id) || isContext(line, own))
        .sorted(Comparator.comparingLong(Line::millis))
        .map(Line::text)
        .toList();
  }

  private static boolean isContext(Line line, List<Line> own) {
    return CONTEXT_EVENTS.contains(line.name())
        && own.stream()
            .anyMatch(
                other ->
                    other.node().equals(line.node())
                        && Math.abs(other.millis() - line.millis()) <= CONTEXT_MILLIS);
  }
}
