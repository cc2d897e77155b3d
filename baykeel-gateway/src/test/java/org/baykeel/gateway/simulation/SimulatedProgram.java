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

/** A program's caller: takes turns, one try after the other, and notes all it gets. */
final class SimulatedProgram {
  static final int TURN_TOKENS = 60;
  static final int TOKENS_PER_EVENT = 10;

  private final String name;
  private final long budget;
  private final String path;
  private final List<Try> tries = new ArrayList<>();
  private final Map<String, String> chainText = new HashMap<>();
  private String lastWhole;
  private Try current;

  /** One try of one turn. */
  static final class Try implements CallResponder {
    private final String id;
    private final String previous;
    private final StringBuilder output = new StringBuilder();
    private final CallerFlow flow =
        new HeldBytesLimiter(HeldBytesLimiter.Bounds.DEFAULT, new TestingEventLoop())
            .open((a, b, c) -> {});
    private int events;
    private Refusal refusal;
    private boolean ended;
    private boolean over;
    private boolean nodeGone;
    private boolean disordered;

    Try(String id, String previous) {
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

    boolean disordered() {
      return disordered;
    }

    @Override
    public CallerFlow flow() {
      return flow;
    }

    void nodeGone() {
      nodeGone = true;
      over = true;
    }

    @Override
    public void refuse(Refusal newRefusal) {
      if (!nodeGone) {
        refusal = newRefusal;
        over = true;
      }
    }

    @Override
    public void respond(ResponseHead head, byte[] body) {
      over = true;
    }

    @Override
    public void startStream(ResponseHead head) {}

    @Override
    public void sendEvent(byte[] bytes) {
      if (nodeGone) {
        return;
      }
      events++;
      String text = new String(bytes, StandardCharsets.UTF_8);
      disordered |= !text.startsWith("id: " + events + "\n");
      output.append(text.lines().toList().get(1).substring("data: ".length())).append('\n');
    }

    @Override
    public void endStream() {
      if (!nodeGone) {
        ended = true;
        over = true;
      }
    }

    @Override
    public void abortStream() {
      over = true;
    }
  }

  SimulatedProgram(String name, String path, long budget) {
    this.name = name;
    this.path = path;
    this.budget = budget;
  }

  List<Try> tries() {
    return tries;
  }

  long budget() {
    return budget;
  }

  long tokensHanded() {
    return tries.stream().mapToLong(Try::events).sum() * TOKENS_PER_EVENT;
  }

  /** The text that the engine must get before the input of a turn that continues this one. */
  String chainText(String turn) {
    return turn == null ? "" : chainText.get(turn);
  }

  static String input(String id) {
    return "in " + id + ";";
  }

  String previousOf(Try attempt) {
    return attempt.previous;
  }

  void nodeGone() {
    if (current != null) {
      current.nodeGone();
    }
  }

  /** Takes the next try at a node, unless one is under way. */
  Try next(SimulatedNode node, TestingEventLoop eventLoop) {
    if (current != null && !current.over) {
      return null;
    }
    if (current != null && current.ended) {
      lastWhole = current.id;
      String before = chainText(current.previous);
      chainText.put(current.id, before + input(current.id) + current.output);
    }
    current = new Try(name + "-" + tries.size(), lastWhole);
    tries.add(current);
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
            lastWhole,
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

  String lastWhole() {
    return lastWhole;
  }
}
