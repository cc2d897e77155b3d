package org.baykeel.cli;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of the gateway's log.
 *
 * @param timestampMillis when it was written, by its node's clock of the day
 * @param eventName the name of its event
 * @param node the node that wrote it
 * @param text the whole line
 * @param fields the pairs behind the node's name
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

  /** Reads a line; whatever stands before its time is left out. */
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

  /** A field's text, if it was written and is not absent. */
  Optional<String> field(String key) {
    return Optional.ofNullable(fields.get(key)).filter(value -> !value.equals(ABSENT));
  }

  /** A field's number; -1 if there is none. */
  long number(String key) {
    try {
      return Long.parseLong(fields.getOrDefault(key, "-1"));
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** Whether any field of the line has this value. */
  boolean hasFieldValue(String id) {
    return (text + " ").contains("=" + id + " ");
  }
}
