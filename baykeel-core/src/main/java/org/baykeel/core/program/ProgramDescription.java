package org.baykeel.core.program;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.baykeel.core.message.Payload;

/** What a caller is told about its program. */
record ProgramDescription(
    String id,
    String programClass,
    String parent,
    String state,
    int calls,
    long budget,
    long spent,
    long reserved,
    int historyTokens) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** The description of a program as JSON. */
  static Payload of(ProgramState program) {
    ProgramDescription description =
        new ProgramDescription(
            program.created().programId(),
            program.created().programClass(),
            program.created().parentId(),
            program.ended() == null ? "active" : "ended",
            program.calls().size(),
            program.created().budget(),
            program.spent(),
            program.reserved(),
            program.historyTokens());
    try {
      return Payload.wrap(MAPPER.writeValueAsBytes(description));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a description is plain data", e);
    }
  }
}
