package org.baykeel.bench.trace;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Writes the project's own traces, in the shape of the two deployments, from a fixed seed. The
 * shapes are assumptions drawn from the brief, not recordings of the users' traffic.
 */
public final class TraceRecorder {
  private static final Set<String> NOT_REPEATABLE = Set.of("put", "confirm", "alert");

  private final SplittableRandom random;
  private final Map<String, List<TraceEvent>> programs = new LinkedHashMap<>();
  private int modelCalls;
  private int toolCalls;
  private int nonRepeatableRuns;

  private TraceRecorder(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /** A trace with the outcomes that it must lead to. */
  public record Recording(Trace trace, TraceOutcomes outcomes) {}

  /**
   * The survey association: drafting, review with sub-agents against registers, uploads from
   * tablets, urgent consent checks, and a rush towards the end.
   *
   * @param scale number of programs of the most frequent kind
   */
  public static Recording association(long seed, int scale) {
    TraceRecorder recorder = new TraceRecorder(seed);
    int spanMillis = scale * 500;
    for (int i = 0; i < scale; i++) {
      recorder.draft("draft-" + i, recorder.random.nextInt(spanMillis));
      recorder.upload("upload-" + i, recorder.random.nextInt(spanMillis));
    }
    for (int i = 0; i < scale / 2; i++) {
      recorder.review("review-" + i, recorder.random.nextInt(spanMillis));
      recorder.consent("consent-" + i, recorder.random.nextInt(spanMillis));
    }
    int rushStart = spanMillis * 2 / 3;
    for (int i = 0; i < scale; i++) {
      recorder.upload("rush-" + i, rushStart + recorder.random.nextInt(spanMillis / 10 + 1));
    }
    return recorder.recording();
  }

  /**
   * The freight planner: long planning sessions that remember the week, path confirmations, and
   * alerts.
   *
   * @param scale number of planning sessions
   */
  public static Recording freight(long seed, int scale) {
    TraceRecorder recorder = new TraceRecorder(seed);
    int spanMillis = scale * 400;
    for (int i = 0; i < scale; i++) {
      recorder.plan("plan-" + i, recorder.random.nextInt(spanMillis));
      recorder.alert("alert-" + i, recorder.random.nextInt(spanMillis));
    }
    return recorder.recording();
  }

  private Recording recording() {
    int count = programs.size();
    return new Recording(
        new Trace(programs),
        new TraceOutcomes(count, count, modelCalls, toolCalls, nonRepeatableRuns));
  }

  private void draft(String name, int at) {
    start(name, at, "drafting", null);
    int turns = 2 + random.nextInt(3);
    for (int i = 0; i < turns; i++) {
      model(name, "form-assistant", 400 + random.nextInt(1_600), 24 + random.nextInt(40), true);
      pause(name, 200 + random.nextInt(800));
    }
    end(name);
  }

  private void review(String name, int at) {
    start(name, at, "review", null);
    model(name, "review-assistant", 6_000 + random.nextInt(6_000), 24 + random.nextInt(24), true);
    int children = 1 + random.nextInt(2);
    for (int i = 0; i < children; i++) {
      String child = name + "." + i;
      step(name, TraceEvent.Step.SPAWN, child);
      start(child, 0, "review", name);
      tool(child, "tablet", "lookup", 120);
      model(child, "review-assistant", 1_500, 16 + random.nextInt(16), false);
      end(child);
    }
    for (int i = 0; i < children; i++) {
      step(name, TraceEvent.Step.JOIN, name + "." + i);
    }
    int turns = 3 + random.nextInt(4);
    for (int i = 0; i < turns; i++) {
      tool(name, "tablet", "lookup", 100 + random.nextInt(100));
      pause(name, 100 + random.nextInt(400));
      model(name, "review-assistant", 500 + random.nextInt(700), 16 + random.nextInt(32), true);
    }
    end(name);
  }

  private void upload(String name, int at) {
    start(name, at, "enumeration", null);
    tool(name, "tablet", "lookup", 80);
    pause(name, random.nextInt(300));
    tool(name, "tablet", "put", 2_000 + random.nextInt(8_000));
    end(name);
  }

  private void consent(String name, int at) {
    start(name, at, "consent", null);
    model(name, "form-assistant", 300, 12, false);
    end(name);
  }

  private void plan(String name, int at) {
    start(name, at, "planning", null);
    model(name, "planner", 8_000 + random.nextInt(8_000), 32 + random.nextInt(32), true);
    int turns = 6 + random.nextInt(8);
    for (int i = 0; i < turns; i++) {
      tool(name, "dispatch", "blocks", 150);
      pause(name, 100 + random.nextInt(500));
      model(name, "planner", 600 + random.nextInt(1_200), 24 + random.nextInt(40), true);
      if (i % 4 == 3) {
        tool(name, "dispatch", "confirm", 300);
      }
    }
    String child = name + ".check";
    step(name, TraceEvent.Step.SPAWN, child);
    start(child, 0, "planning", name);
    model(child, "planner", 2_000, 24, false);
    end(child);
    step(name, TraceEvent.Step.JOIN, child);
    tool(name, "dispatch", "confirm", 300);
    end(name);
  }

  private void alert(String name, int at) {
    start(name, at, "alerting", null);
    model(name, "planner", 400, 12, false);
    tool(name, "dispatch", "alert", 200);
    end(name);
  }

  private void add(TraceEvent event) {
    programs.computeIfAbsent(event.program(), key -> new ArrayList<>()).add(event);
  }

  private void start(String name, int at, String programClass, String parent) {
    add(
        new TraceEvent(
            name,
            TraceEvent.Step.START,
            at,
            programClass,
            parent,
            null,
            null,
            0,
            0,
            false,
            0,
            null));
  }

  private void model(String name, String target, int bytes, int tokens, boolean stream) {
    modelCalls++;
    add(
        new TraceEvent(
            name,
            TraceEvent.Step.MODEL,
            0,
            null,
            null,
            target,
            null,
            bytes,
            tokens,
            stream,
            0,
            null));
  }

  private void tool(String name, String target, String operation, int bytes) {
    toolCalls++;
    nonRepeatableRuns += NOT_REPEATABLE.contains(operation) ? 1 : 0;
    add(
        new TraceEvent(
            name,
            TraceEvent.Step.TOOL,
            0,
            null,
            null,
            target,
            operation,
            bytes,
            0,
            false,
            0,
            null));
  }

  private void pause(String name, int millis) {
    add(
        new TraceEvent(
            name, TraceEvent.Step.PAUSE, 0, null, null, null, null, 0, 0, false, millis, null));
  }

  private void step(String name, TraceEvent.Step step, String child) {
    add(new TraceEvent(name, step, 0, null, null, null, null, 0, 0, false, 0, child));
  }

  private void end(String name) {
    step(name, TraceEvent.Step.END, null);
  }
}
