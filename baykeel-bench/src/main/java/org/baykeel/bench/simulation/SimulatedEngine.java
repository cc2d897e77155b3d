package org.baykeel.bench.simulation;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;
import org.baykeel.emulator.engine.AnswerText;
import org.baykeel.emulator.engine.EngineCosts;
import org.baykeel.emulator.engine.EngineModel;
import org.baykeel.emulator.engine.EngineRequest;
import org.baykeel.emulator.engine.EngineStream;

/** The emulated engine in virtual time, with the same model as behind HTTP. */
final class SimulatedEngine {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int ORPHAN_MILLIS = 10_000;

  /** What the engine tells the node that sent an attempt. */
  interface Client {
    /** Generated text. */
    void text(int offset, Payload text);

    /** The whole answer. */
    void completed(Payload answer, Usage usage);

    /** The attempt failed. */
    void failed(AttemptFailure failure);

    /** True while the node still holds the connection. */
    boolean isConnected();
  }

  /** What the observer sees at the engine. */
  interface Watcher {
    /** The engine has taken an attempt. */
    void started(String engine, BackendAttempt attempt, List<String> contents);

    /** The engine has read the tokens of a prompt. */
    void read(String programId, long tokens);

    /** The engine has generated one token. */
    void generated(String programId);
  }

  private final VirtualTime time;
  private final String name;
  private final EngineCosts costs;
  private final Watcher watcher;
  private final Map<String, Connection> connections = new HashMap<>();
  private EngineModel model;
  private boolean alive = true;
  private int life;
  private long wakeMicros = -1;

  SimulatedEngine(VirtualTime time, String name, EngineCosts costs, Watcher watcher) {
    this.time = requireNonNull(time, "time");
    this.name = requireNonNull(name, "name");
    this.costs = requireNonNull(costs, "costs");
    this.watcher = requireNonNull(watcher, "watcher");
    this.model = newModel();
  }

  private EngineModel newModel() {
    return new EngineModel(costs, name.hashCode() + 1_000L * life);
  }

  String name() {
    return name;
  }

  EngineModel model() {
    return model;
  }

  boolean isAlive() {
    return alive;
  }

  void kill() {
    alive = false;
    life++;
    List<Connection> broken = new ArrayList<>(connections.values());
    connections.clear();
    model = newModel();
    broken.forEach(connection -> connection.client.failed(AttemptFailure.BROKEN));
  }

  void restart() {
    alive = true;
  }

  /** Breaks the connections of streams that run; the streams themselves go on for a while. */
  void breakConnections() {
    List<Connection> broken = new ArrayList<>(connections.values());
    connections.clear();
    for (Connection connection : broken) {
      connection.client.failed(AttemptFailure.BROKEN);
      orphan(connection.stream);
    }
  }

  private void orphan(EngineStream stream) {
    String id = stream.request().streamId();
    int bornIn = life;
    time.afterMillis(
        ORPHAN_MILLIS,
        () -> {
          if (life == bornIn && !connections.containsKey(id)) {
            model.cancel(id);
          }
        });
  }

  /** One stream and who reads it. */
  private final class Connection implements EngineStream.Listener {
    final Client client;
    final BackendAttempt attempt;
    EngineStream stream;
    int offset;

    Connection(Client client, BackendAttempt attempt, int offset) {
      this.client = client;
      this.attempt = attempt;
      this.offset = offset;
    }

    @Override
    public void onToken(EngineStream from, String token) {
      watcher.generated(from.request().programId());
      Payload text = Payload.of(token);
      int at = offset;
      offset += text.length();
      if (connections.get(from.request().streamId()) == this) {
        client.text(at, text);
      }
    }

    @Override
    public void onFinished(EngineStream from) {
      if (connections.remove(from.request().streamId(), this)) {
        deliver(from);
      }
    }

    void deliver(EngineStream from) {
      EngineRequest request = from.request();
      Payload answer = Payload.of(request.continuedText() + from.text());
      int generated = from.generatedTokens() - request.continuedTokens();
      client.completed(answer, new Usage(request.promptTokens(), generated, from.cachedTokens()));
    }
  }

  void start(BackendAttempt attempt, Client client) {
    if (!alive || (model.isLeaving() && !attempt.resume())) {
      boolean leaving = alive && model.isLeaving();
      client.failed(leaving ? AttemptFailure.LEAVING : AttemptFailure.NOT_TAKEN);
      return;
    }
    if (attempt.resume()) {
      resume(attempt, client);
    } else {
      begin(attempt, client);
    }
  }

  private void begin(BackendAttempt attempt, Client client) {
    List<String> contents = contents(attempt.body());
    int tokens = contents.stream().mapToInt(AnswerText::messageTokens).sum();
    String continued = attempt.continuation().text();
    if (!continued.isEmpty()) {
      tokens += AnswerText.messageTokens(continued);
    }
    EngineRequest request =
        new EngineRequest(
            attempt.id().toString(),
            attempt.id().programId(),
            AnswerText.digest(contents),
            tokens,
            continued,
            attempt.maximumTokens(),
            attempt.priority());
    watcher.started(name, attempt, contents);
    watcher.read(attempt.id().programId(), tokens);
    Connection connection = new Connection(client, attempt, continued.length());
    connections.put(request.streamId(), connection);
    connection.stream = model.submit(request, connection, time.micros());
    wake();
  }

  private void resume(BackendAttempt attempt, Client client) {
    String id = attempt.id().toString();
    EngineStream stream = model.stream(id);
    if (stream == null || stream.isCancelled()) {
      client.failed(AttemptFailure.REJECTED);
      return;
    }
    String begun = stream.request().continuedText() + stream.text();
    Connection connection = new Connection(client, attempt, begun.length());
    connection.stream = stream;
    client.text(0, Payload.of(begun));
    if (stream.isFinished()) {
      connection.deliver(stream);
    } else {
      connections.put(id, connection);
      stream.listen(connection);
    }
  }

  private static List<String> contents(Payload prompt) {
    List<String> contents = new ArrayList<>();
    try {
      for (JsonNode message : MAPPER.readTree("[" + prompt.text() + "]")) {
        contents.add(message.path("content").asText());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return contents;
  }

  void cancel(String streamId) {
    connections.remove(streamId);
    model.cancel(streamId);
  }

  /** A node has closed its connection. */
  void abandon(String streamId) {
    Connection connection = connections.remove(streamId);
    if (connection != null) {
      orphan(connection.stream);
    }
  }

  /** Finds out which connections have lost their node. */
  void dropDisconnected() {
    for (Connection connection : new ArrayList<>(connections.values())) {
      if (!connection.client.isConnected()) {
        abandon(connection.attempt.id().toString());
      }
    }
  }

  EngineReport report() {
    EngineReport.Status status =
        !alive
            ? EngineReport.Status.UNREACHABLE
            : model.isLeaving() ? EngineReport.Status.LEAVING : EngineReport.Status.SERVING;
    return new EngineReport(
        name, time.millis(), model.running(), model.waiting(), model.freeCacheTokens(), status);
  }

  private void wake() {
    long next = model.advance(time.micros());
    if (next < 0 || (wakeMicros >= 0 && wakeMicros <= next)) {
      return;
    }
    wakeMicros = next;
    time.after(
        next - time.micros(),
        () -> {
          wakeMicros = -1;
          wake();
        });
  }
}
