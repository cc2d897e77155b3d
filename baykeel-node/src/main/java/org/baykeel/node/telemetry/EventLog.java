package org.baykeel.node.telemetry;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.text.MessageFormat;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.baykeel.core.log.LogEvent;
import org.baykeel.node.settings.ProcessSettings.LogSettings;

/** Writes numbered events through {@link System.Logger}, as text or as JSON lines. */
public final class EventLog {
  private static final System.Logger LOGGER = System.getLogger("baykeel");
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String node;
  private final LogSettings.Format format;

  /** One line in JSON. */
  private record JsonLine(
      String node, int event, String name, String level, String message, List<String> arguments) {}

  public EventLog(String node, LogSettings settings) {
    this.node = requireNonNull(node, "node");
    this.format = settings.format();
  }

  /** Writes an event. */
  public void write(LogEvent event, Object... arguments) {
    if (!LOGGER.isLoggable(event.level())) {
      return;
    }
    String[] texts = Arrays.stream(arguments).map(String::valueOf).toArray(String[]::new);
    String message = new MessageFormat(event.pattern(), Locale.ROOT).format(texts);
    if (format == LogSettings.Format.JSON) {
      LOGGER.log(event.level(), json(event, message, List.of(texts)));
    } else {
      LOGGER.log(event.level(), "BK" + event.number() + " node=" + node + " " + message);
    }
  }

  private String json(LogEvent event, String message, List<String> arguments) {
    try {
      return MAPPER.writeValueAsString(
          new JsonLine(
              node, event.number(), event.name(), event.level().name(), message, arguments));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a log line is plain data", e);
    }
  }
}
