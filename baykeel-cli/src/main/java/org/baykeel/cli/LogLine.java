package org.baykeel.cli;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A parsed line of the gateway's log.
 *
 * @param timestampMillis when the line was written, in milliseconds since the epoch by the clock of
 *     its node
 * @param eventName name of the event
 * @param node name of the node that wrote the line
 * @param text the line from its timestamp on
 * @param fields the fields after the node's name, by key
 */
record LogLine(
    long timestampMillis, String eventName, String node, String text, Map<String, String> fields) {
  private static final Pattern LINE =
      Pattern.compile("t=(\\d+) event=\\d+ name=(\\S+) node=(\\S+)(.*)");
  private static final Pattern FIELD = Pattern.compile(" (\\w+)=(\"[^\"]*\"|\\S+)");
  private static final String ABSENT = "null";

  LogLine {
    fields = Map.copyOf(fields);
  }

  /** Parses a line. Text before its timestamp is ignored; empty if the line has another format. */
  static Optional<LogLine> parse(String text) {
    Matcher matcher = LINE.matcher(text);
    if (!matcher.find()) {
      return Optional.empty();
    }
    Map<String, String> fields = new HashMap<>();
    Matcher field = FIELD.matcher(matcher.group(4));
    while (field.find()) {
      fields.put(field.group(1), field.group(2).replace("\"", ""));
    }
    return Optional.of(
        new LogLine(
            Long.parseLong(matcher.group(1)),
            matcher.group(2),
            matcher.group(3),
            matcher.group(),
            fields));
  }

  /** Returns the value of a field, or empty if the field is missing or logged as {@code null}. */
  Optional<String> field(String key) {
    return Optional.ofNullable(fields.get(key)).filter(value -> !value.equals(ABSENT));
  }

  /** Returns the value of a numeric field, or -1 if it is missing or not a number. */
  long number(String key) {
    try {
      return Long.parseLong(fields.getOrDefault(key, "-1"));
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** Returns whether any field of the line has this value, written without quotes. */
  boolean hasFieldValue(String id) {
    return (text + " ").contains("=" + id + " ");
  }
}
