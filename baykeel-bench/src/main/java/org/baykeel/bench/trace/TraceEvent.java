package org.baykeel.bench.trace;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One line of a recorded trace. docs/TRACES.md describes the format.
 *
 * @param program name of the program within the trace
 * @param step what it does next
 * @param atMillis for a start: when, after the beginning of the trace
 * @param programClass for a start: the declared class
 * @param parent for the start of a sub-agent: its parent
 * @param target for a call: model or tool
 * @param operation for a tool call: the operation
 * @param bytes for a call: bytes of the new message or of the tool's request
 * @param maximumTokens for a model call: tokens to generate
 * @param stream for a model call: whether the answer is streamed
 * @param millis for a pause: how long
 * @param child for a spawn or join: the sub-agent
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record TraceEvent(
    String program,
    Step step,
    int atMillis,
    String programClass,
    String parent,
    String target,
    String operation,
    int bytes,
    int maximumTokens,
    boolean stream,
    int millis,
    String child) {

  /** What a program does. */
  public enum Step {
    START,
    MODEL,
    TOOL,
    PAUSE,
    /** Starts a sub-agent, which runs beside its parent. */
    SPAWN,
    /** Waits for a sub-agent to end. */
    JOIN,
    END
  }
}
