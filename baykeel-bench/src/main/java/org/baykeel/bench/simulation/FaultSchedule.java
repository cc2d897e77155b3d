package org.baykeel.bench.simulation;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A seed and the faults that go with it: all that a simulated run depends on. Kept as a file, a
 * schedule repeats a failure exactly.
 *
 * @param seed of the network, the callers and the nodes
 */
public record FaultSchedule(long seed, List<Fault> faults) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int FAULT_SPAN_MILLIS = 30_000;
  private static final int SHORTEST_MILLIS = 300;
  private static final int LONGEST_MILLIS = 9_000;
  private static final int MOST_FAULTS = 8;

  public FaultSchedule {
    faults = List.copyOf(faults);
  }

  /** A schedule without faults. */
  public static FaultSchedule calm(long seed) {
    return new FaultSchedule(seed, List.of());
  }

  /**
   * A random schedule; faults overlap. Every other one draws from two kinds only, so that pairs of
   * kinds meet often.
   */
  public static FaultSchedule random(long seed, int nodes, int engines) {
    SplittableRandom random = new SplittableRandom(seed);
    Fault.Kind[] kinds = Fault.Kind.values();
    if (seed % 2 == 0) {
      Fault.Kind one = kinds[random.nextInt(kinds.length)];
      Fault.Kind other = kinds[random.nextInt(kinds.length)];
      kinds = new Fault.Kind[] {one, other};
    }
    List<Fault> faults = new ArrayList<>();
    int count = 1 + random.nextInt(MOST_FAULTS);
    for (int i = 0; i < count; i++) {
      Fault.Kind kind = kinds[random.nextInt(kinds.length)];
      boolean engine = kind == Fault.Kind.KILL_ENGINE || kind == Fault.Kind.ENGINE_LEAVES;
      faults.add(
          new Fault(
              kind,
              random.nextInt(FAULT_SPAN_MILLIS),
              SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS - SHORTEST_MILLIS),
              random.nextInt(engine ? engines : nodes)));
    }
    return new FaultSchedule(seed, faults);
  }

  /** A schedule of one kind of fault, struck several times. */
  public static FaultSchedule of(long seed, int nodes, Fault.Kind... kinds) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault> faults = new ArrayList<>();
    for (Fault.Kind kind : kinds) {
      for (int i = 0; i < 3; i++) {
        int at = random.nextInt(FAULT_SPAN_MILLIS);
        int duration = SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS - SHORTEST_MILLIS);
        faults.add(new Fault(kind, at, duration, random.nextInt(nodes)));
      }
    }
    return new FaultSchedule(seed, faults);
  }

  /** The same without one fault. */
  public FaultSchedule without(int index) {
    List<Fault> fewer = new ArrayList<>(faults);
    fewer.remove(index);
    return new FaultSchedule(seed, fewer);
  }

  /** The schedule as one line of JSON. */
  public String json() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a schedule is plain data", e);
    }
  }

  /** Reads a schedule. */
  public static FaultSchedule parse(String json) {
    try {
      return MAPPER.readValue(json, FaultSchedule.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("no schedule: " + e.getOriginalMessage(), e);
    }
  }
}
