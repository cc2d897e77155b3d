package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.LogRecord;

/**
 * Holds answers back until a record proposed after them is committed. A leader that has been
 * deposed without noticing could otherwise say "not run" of a request that its successor has run.
 */
final class RefusalBarrier {
  private record Held(long index, CallerOrigin origin, CallerReply reply) {}

  private final CoordinatorOutput output;
  private final Deque<Held> held = new ArrayDeque<>();
  private long openIndex = -1;

  RefusalBarrier(CoordinatorOutput output) {
    this.output = requireNonNull(output, "output");
  }

  /** Sends the answer once leadership is confirmed. */
  void confirmAndReply(CallerOrigin origin, CallerReply reply) {
    if (openIndex < 0) {
      openIndex = output.propose(new LogRecord.NoOperation());
    }
    if (openIndex < 0) {
      output.reply(origin, new CallerReply.NotLeader());
      return;
    }
    held.add(new Held(openIndex, origin, reply));
  }

  /** Commits the refusal of a submission, then sends it. */
  void recordAndReply(String programId, CallerOrigin origin, CallerReply.Failed reply) {
    long index =
        output.propose(
            new LogRecord.SubmissionRefused(
                programId, origin.edge(), origin.requestId(), reply.kind()));
    if (index < 0) {
      output.reply(origin, new CallerReply.NotLeader());
      return;
    }
    held.add(new Held(index, origin, reply));
  }

  /** The proposals of this duty cycle go out; later answers need a record of their own. */
  void endCycle() {
    openIndex = -1;
  }

  /** A record of this leader's term was committed. */
  void onApplied(long index) {
    while (!held.isEmpty() && held.peek().index() <= index) {
      Held next = held.poll();
      output.reply(next.origin(), next.reply());
    }
  }

  /** Leadership is lost: takes out those who wait, to be sent to the new leader. */
  List<CallerOrigin> drain() {
    List<CallerOrigin> origins = new ArrayList<>();
    held.forEach(item -> origins.add(item.origin()));
    held.clear();
    openIndex = -1;
    return origins;
  }
}
