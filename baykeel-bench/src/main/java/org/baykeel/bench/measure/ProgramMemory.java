package org.baykeel.bench.measure;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;
import org.baykeel.core.program.ProgramShard;

/** Heap that one copy of a program takes: idle, and for each turn of history. */
public final class ProgramMemory {
  private static final int[] PROGRAMS = {10_000, 20_000, 40_000};
  private static final int TURN_PROGRAMS = 2_000;
  private static final int[] TURNS = {5, 10, 20};
  private static final int MESSAGE_BYTES = 600;
  private static final int ANSWER_BYTES = 160;

  private final PrintStream out;

  public ProgramMemory(PrintStream out) {
    this.out = requireNonNull(out, "out");
  }

  /** Runs the measurement and prints its figures. */
  public void run() {
    double[] heap = new double[PROGRAMS.length];
    for (int i = 0; i < PROGRAMS.length; i++) {
      heap[i] = heapOf(PROGRAMS[i], 0);
      out.printf("%d idle programs: %.0f bytes each%n", PROGRAMS[i], heap[i] / PROGRAMS[i]);
    }
    out.println("idle program, bytes a copy: " + Slope.fit(asDoubles(PROGRAMS), heap));
    double[] turnHeap = new double[TURNS.length];
    for (int i = 0; i < TURNS.length; i++) {
      turnHeap[i] = heapOf(TURN_PROGRAMS, TURNS[i]) / TURN_PROGRAMS;
    }
    out.printf(
        "turn of %d bytes, bytes a copy: %s%n",
        MESSAGE_BYTES + ANSWER_BYTES, Slope.fit(asDoubles(TURNS), turnHeap));
  }

  private static double[] asDoubles(int[] values) {
    double[] result = new double[values.length];
    for (int i = 0; i < values.length; i++) {
      result[i] = values[i];
    }
    return result;
  }

  private static double heapOf(int programs, int turns) {
    long before = usedHeap();
    ProgramShard shard = new ProgramShard();
    for (int i = 0; i < programs; i++) {
      String id = "p1-" + String.format("%024x", i);
      shard.apply(
          new LogRecord.ProgramCreated(
              id, "tenant", "class", "", "key-" + i, Long.MAX_VALUE / 2, 1_000, 0));
      for (int turn = 1; turn <= turns; turn++) {
        addTurn(shard, id, turn);
      }
    }
    long after = usedHeap();
    if (shard.programs().size() != programs) {
      throw new IllegalStateException("programs were not created");
    }
    return after - before;
  }

  private static void addTurn(ProgramShard shard, String id, int turn) {
    shard.apply(
        new LogRecord.CallDispatched(
            id,
            turn,
            1,
            CallKind.MODEL,
            true,
            1,
            1,
            MemberId.NONE,
            "call-" + turn,
            "model",
            "engine",
            "",
            Payload.wrap(new byte[32]),
            Payload.wrap(new byte[MESSAGE_BYTES]),
            0));
    shard.apply(
        new LogRecord.CallCompleted(
            id, turn, 1, 1, new Usage(1, 1, 0), Payload.wrap(new byte[ANSWER_BYTES])));
  }

  private static long usedHeap() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
