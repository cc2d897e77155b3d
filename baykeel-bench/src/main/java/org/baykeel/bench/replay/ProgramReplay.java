package org.baykeel.bench.replay;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.bench.client.CallerClient;
import org.baykeel.bench.trace.TraceEvent;
import org.baykeel.emulator.engine.AnswerText;
import org.baykeel.emulator.tool.ToolServer;

/** Replays one program of a trace as a caller would, and checks what it gets. */
final class ProgramReplay {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAXIMUM_TRIES = 60;
  private static final int RETRY_MILLIS = 500;

  private final TraceReplay replay;
  private final String name;
  private final List<TraceEvent> events;
  private final String parentId;
  private final CallerClient client;
  private final ReplayLedger ledger;
  private final List<String> contents = new ArrayList<>();
  private final Map<String, Thread> children = new HashMap<>();
  private String programId;
  private int historyTokens;
  private int callNumber;

  ProgramReplay(
      TraceReplay replay,
      String name,
      List<TraceEvent> events,
      String parentId,
      CallerClient client,
      ReplayLedger ledger) {
    this.replay = requireNonNull(replay, "replay");
    this.name = requireNonNull(name, "name");
    this.events = List.copyOf(events);
    this.parentId = requireNonNull(parentId, "parentId");
    this.client = requireNonNull(client, "client");
    this.ledger = requireNonNull(ledger, "ledger");
  }

  /** Runs the program to its end. */
  void run() throws InterruptedException {
    long started = System.nanoTime();
    ledger.programStarted();
    for (TraceEvent event : events) {
      boolean carriesOn = step(event);
      if (!carriesOn) {
        return;
      }
    }
    ledger.programCompleted((System.nanoTime() - started) / 1_000_000);
  }

  private boolean step(TraceEvent event) throws InterruptedException {
    switch (event.step()) {
      case START -> {
        return create(event);
      }
      case MODEL -> {
        return callModel(event);
      }
      case TOOL -> {
        return callTool(event);
      }
      case PAUSE -> Thread.sleep(event.millis());
      case SPAWN -> children.put(event.child(), replay.startChild(event.child(), programId));
      case JOIN -> children.get(event.child()).join();
      case END -> {
        return end();
      }
      default -> throw new IllegalStateException("unknown step " + event.step());
    }
    return true;
  }

  private boolean create(TraceEvent event) throws InterruptedException {
    ObjectNode body = MAPPER.createObjectNode().put("class", event.programClass());
    if (!parentId.isEmpty()) {
      body.put("parent", parentId);
    }
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers = Map.of("Idempotency-Key", replay.runName() + "-" + name);
    CallerClient.Answer answer =
        untilSettled(() -> client.call("POST", "/v1/programs", headers, bytes));
    if (!answer.isSuccess()) {
      return false;
    }
    programId = json(answer.text()).path("id").asText();
    replay.created(programId);
    return true;
  }

  private boolean callModel(TraceEvent event) throws InterruptedException {
    String content = filler(event.bytes());
    contents.add(content);
    ObjectNode body = MAPPER.createObjectNode().put("model", event.target());
    body.putArray("messages").addObject().put("role", "user").put("content", content);
    body.put("max_tokens", event.maximumTokens()).put("stream", event.stream());
    body.putObject("stream_options").put("include_usage", true);
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers = callHeaders();
    CallerClient.Answer answer =
        untilSettled(
            () ->
                event.stream()
                    ? client.stream(headers, bytes)
                    : client.call("POST", "/v1/chat/completions", headers, bytes));
    if (!answer.isSuccess()) {
      return false;
    }
    checkModelAnswer(event, answer);
    int onceCached = Math.max(0, historyTokens - answer.cachedTokens());
    ledger.modelCall(
        answer.promptTokens(), answer.cachedTokens(), onceCached, answer.firstTextMillis());
    contents.add(answer.text());
    historyTokens = answer.promptTokens() + event.maximumTokens();
    return true;
  }

  private void checkModelAnswer(TraceEvent event, CallerClient.Answer answer) {
    String header = AnswerText.header(AnswerText.digest(contents));
    if (!answer.text().startsWith(header)) {
      ledger.violation(Promise.HISTORY, name + " call " + callNumber + ": other prompt");
    }
    int expected = event.maximumTokens() * AnswerText.TOKEN_BYTES;
    if (answer.text().length() != expected) {
      ledger.violation(
          Promise.WHOLE_ANSWER,
          name + " call " + callNumber + ": " + answer.text().length() + " of " + expected);
    }
  }

  private Map<String, String> callHeaders() {
    callNumber++;
    return Map.of("Baykeel-Program", programId, "Idempotency-Key", "call-" + callNumber);
  }

  private boolean callTool(TraceEvent event) throws InterruptedException {
    byte[] body = filler(event.bytes()).getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers = callHeaders();
    String path = "/v1/tools/" + event.target() + "/" + event.operation();
    String runKey = programId + ":" + headers.get("Idempotency-Key");
    replay.toolCalled(runKey, event.operation());
    long started = System.nanoTime();
    CallerClient.Answer answer = untilSettled(() -> client.call("POST", path, headers, body));
    if (!answer.isSuccess()) {
      if (answer.execution().equals("not_run")) {
        replay.saidNotRun(runKey);
      }
      return answer.errorCode().equals("outcome_unknown");
    }
    ledger.toolCall((System.nanoTime() - started) / 1_000_000);
    JsonNode done = json(answer.text());
    boolean own =
        done.path("digest").asText().equals(ToolServer.digest(body))
            && done.path("key").asText().equals(runKey);
    if (!own) {
      ledger.violation(Promise.WHOLE_ANSWER, name + " call " + callNumber + ": other answer");
    }
    return true;
  }

  private boolean end() throws InterruptedException {
    String path = "/v1/programs/" + programId;
    CallerClient.Answer answer =
        untilSettled(() -> client.call("DELETE", path, Map.of(), new byte[0]));
    if (!answer.isSuccess()) {
      return false;
    }
    JsonNode program = json(answer.text());
    long spent = program.path("spent").asLong() + program.path("reserved").asLong();
    if (spent > program.path("budget").asLong()) {
      ledger.violation(Promise.BUDGET, name + ": spent " + spent);
    }
    replay.ended(programId);
    return true;
  }

  private interface Attempt {
    CallerClient.Answer send();
  }

  /** Repeats a request with the same key for as long as the answer advises it. */
  private CallerClient.Answer untilSettled(Attempt attempt) throws InterruptedException {
    CallerClient.Answer answer = null;
    for (int i = 0; i < MAXIMUM_TRIES; i++) {
      answer = attempt.send();
      if (answer.isSuccess()) {
        return answer;
      }
      String code = answer.errorCode().isEmpty() ? "connection_broken" : answer.errorCode();
      ledger.refusal(code);
      if (answer.retry().equals("never")) {
        return answer;
      }
      ledger.retry();
      Thread.sleep(Math.max(RETRY_MILLIS, answer.retryAfterMillis()));
    }
    return answer;
  }

  /** Text of a given length that no other message has. */
  private String filler(int bytes) {
    StringBuilder text = new StringBuilder(name + "/" + contents.size() + "/" + callNumber + " ");
    while (text.length() < bytes) {
      text.append("lorem ");
    }
    text.setLength(Math.max(1, bytes));
    return text.toString();
  }

  private static JsonNode json(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (IOException e) {
      return MAPPER.createObjectNode();
    }
  }
}
