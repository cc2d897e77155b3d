package org.baykeel.gateway.simulation;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.gateway.buffering.CallerFlow;
import org.baykeel.gateway.buffering.HeldBytesLimiter;
import org.baykeel.gateway.call.CallAttributes;
import org.baykeel.gateway.call.CallRequest;
import org.baykeel.gateway.call.CallResponder;
import org.baykeel.gateway.call.Refusal;
import org.baykeel.gateway.call.ResponseHead;
import org.baykeel.gateway.testing.TestingEventLoop;

/**
 * The caller of a program. It makes calls for turns one after the other and records all responses.
 */
final class SimulatedProgram {
  static final int TURN_TOKENS = 60;
  static final int TOKENS_PER_EVENT = 10;

  private final String name;
  private final long budget;
  private final String path;
  private final List<ProgramCall> calls = new ArrayList<>();
  private final Map<String, String> historyText = new HashMap<>();
  private String lastCompleted;
  private ProgramCall current;

  /** One call of one turn. */
  static final class ProgramCall implements CallResponder {
    private final String id;
    private final String previous;
    private final StringBuilder output = new StringBuilder();
    private final CallerFlow flow =
        new HeldBytesLimiter(HeldBytesLimiter.Bounds.DEFAULT, new TestingEventLoop())
            .open((a, b, c) -> {});
    private int events;
    private Refusal refusal;
    private boolean ended;
    private boolean finished;
    private boolean nodeLost;
    private boolean outOfOrder;

    ProgramCall(String id, String previous) {
      this.id = id;
      this.previous = previous;
    }

    String id() {
      return id;
    }

    Refusal refusal() {
      return refusal;
    }

    boolean ended() {
      return ended;
    }

    int events() {
      return events;
    }

    boolean outOfOrder() {
      return outOfOrder;
    }

    @Override
    public CallerFlow flow() {
      return flow;
    }

    void onNodeLost() {
      nodeLost = true;
      finished = true;
    }

    @Override
    public void refuse(Refusal newRefusal) {
      if (!nodeLost) {
        refusal = newRefusal;
        finished = true;
      }
    }

    @Override
    public void respond(ResponseHead head, byte[] body) {
      finished = true;
    }

    @Override
    public void startStream(ResponseHead head) {}

    @Override
    public void sendEvent(byte[] bytes) {
      if (nodeLost) {
        return;
      }
      events++;
      String text = new String(bytes, StandardCharsets.UTF_8);
      outOfOrder |= !text.startsWith("id: " + events + "\n");
      output.append(text.lines().toList().get(1).substring("data: ".length())).append('\n');
    }

    @Override
    public void endStream() {
      if (!nodeLost) {
        ended = true;
        finished = true;
      }
    }

    @Override
    public void abortStream() {
      finished = true;
    }
  }

  SimulatedProgram(String name, String path, long budget) {
    this.name = name;
    this.path = path;
    this.budget = budget;
  }

  List<ProgramCall> calls() {
    return calls;
  }

  long budget() {
    return budget;
  }

  long tokensReceived() {
    return calls.stream().mapToLong(ProgramCall::events).sum() * TOKENS_PER_EVENT;
  }

  /**
   * Returns the text that an engine must receive before the input of a turn that continues the
   * given one.
   */
  String historyText(String turn) {
    return turn == null ? "" : historyText.get(turn);
  }

  static String input(String id) {
    return "in " + id + ";";
  }

  String previousOf(ProgramCall call) {
    return call.previous;
  }

  void onNodeLost() {
    if (current != null) {
      current.onNodeLost();
    }
  }

  /** Makes the next call at a node, unless one is in progress. */
  ProgramCall startNextCall(SimulatedNode node, TestingEventLoop eventLoop) {
    if (current != null && !current.finished) {
      return null;
    }
    if (current != null && current.ended) {
      lastCompleted = current.id;
      String before = historyText(current.previous);
      historyText.put(current.id, before + input(current.id) + current.output);
    }
    current = new ProgramCall(name + "-" + calls.size(), lastCompleted);
    calls.add(current);
    CallAttributes attributes =
        new CallAttributes(
            current.id,
            3_000,
            -1,
            name,
            name,
            budget,
            TURN_TOKENS,
            List.of(),
            lastCompleted,
            -1,
            null,
            null);
    node.accept(
        new CallRequest(
            "POST",
            path + "x",
            "h",
            new DefaultHttpHeaders(),
            input(current.id).getBytes(StandardCharsets.UTF_8),
            attributes,
            eventLoop.nanoTime()),
        current);
    return current;
  }

  String lastCompleted() {
    return lastCompleted;
  }
}
