package org.baykeel.bench.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;

/**
 * A recorded trace: the steps of each program, in order.
 *
 * @param programs steps by program name, in order of first appearance
 */
public record Trace(Map<String, List<TraceEvent>> programs) {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /**
   * Reads JSON lines.
   *
   * @throws BaykeelException with {@link ErrorKind#INVALID_REQUEST} that names the broken line
   */
  public static Trace parse(String name, List<String> lines) {
    Map<String, List<TraceEvent>> programs = new LinkedHashMap<>();
    int number = 0;
    for (String line : lines) {
      number++;
      if (!line.isBlank()) {
        TraceEvent event = parseLine(name, number, line);
        programs.computeIfAbsent(event.program(), key -> new ArrayList<>()).add(event);
      }
    }
    return new Trace(programs);
  }

  private static TraceEvent parseLine(String name, int number, String line) {
    TraceEvent event;
    try {
      event = MAPPER.readValue(line, TraceEvent.class);
    } catch (JsonProcessingException e) {
      throw broken(name, number, "not a trace event: " + e.getOriginalMessage());
    }
    if (event.program() == null || event.step() == null) {
      throw broken(name, number, "program and step are required");
    }
    return event;
  }

  private static BaykeelException broken(String name, int number, String detail) {
    return new BaykeelException(ErrorKind.INVALID_REQUEST, name + ":" + number + ": " + detail);
  }

  /** The lines of the trace. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    for (List<TraceEvent> events : programs.values()) {
      for (TraceEvent event : events) {
        try {
          lines.add(MAPPER.writeValueAsString(event));
        } catch (JsonProcessingException e) {
          throw new IllegalStateException("an event is plain data", e);
        }
      }
    }
    return lines;
  }
}
