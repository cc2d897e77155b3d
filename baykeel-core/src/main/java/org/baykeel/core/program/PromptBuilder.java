package org.baykeel.core.program;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;
import org.agrona.ExpandableArrayBuffer;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.Payload;

/** Puts a program's history and a call's new messages together into the content of a JSON array. */
final class PromptBuilder {
  private static final byte[] SEPARATOR = {','};
  private static final byte[] ANSWER_START =
      "{\"role\":\"assistant\",\"content\":\"".getBytes(StandardCharsets.UTF_8);
  private static final byte[] ANSWER_END = "\"}".getBytes(StandardCharsets.UTF_8);

  private final ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(4_096);
  private int length;

  private PromptBuilder() {}

  /** The prompt of a call: all answered model calls before it, then its own messages. */
  static Payload build(ProgramState program, Payload newMessages) {
    PromptBuilder builder = new PromptBuilder();
    for (CallState call : program.calls()) {
      if (call.first().kind() == CallKind.MODEL && call.completion() != null) {
        builder.appendTurn(call);
      }
    }
    builder.append(newMessages.array());
    byte[] prompt = new byte[builder.length];
    builder.buffer.getBytes(0, prompt);
    return Payload.wrap(prompt);
  }

  private void appendTurn(CallState call) {
    append(call.first().body().array());
    append(SEPARATOR);
    append(ANSWER_START);
    append(JsonStringEncoder.getInstance().quoteAsUTF8(call.completion().answer().text()));
    append(ANSWER_END);
    append(SEPARATOR);
  }

  private void append(byte[] bytes) {
    buffer.putBytes(length, bytes);
    length += bytes.length;
  }
}
