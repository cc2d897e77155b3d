package org.baykeel.gateway.call;

import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.baykeel.gateway.history.SearchLimits;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.history.TurnHistory;
import org.baykeel.gateway.history.TurnHistory.Lookup;
import org.baykeel.gateway.program.ProgramId;

/** The stored turns that a call continues, and the storing of its own turn. */
final class TurnChain {
  private static final long LOOKUP_TIMEOUT_MILLIS = 1_000;

  /** Of the time that remains, two thirds may be spent waiting; the rest is for another node. */
  private static final long WAIT_NUMERATOR = 2;

  private static final long WAIT_DENOMINATOR = 3;

  private final GatewayContext context;
  private final AuthorizedCall call;
  private List<String> ancestors = List.of();
  private TurnHistory.Task task = TurnHistory.Task.NONE;

  TurnChain(GatewayContext context, AuthorizedCall call) {
    this.context = context;
    this.call = call;
  }

  /** Finds the turn that the call continues and all turns before that one. */
  void findPrevious(Consumer<Lookup> callback) {
    CallAttributes attributes = call.attributes();
    String programId = Objects.requireNonNullElse(attributes.programId(), "");
    ProgramId program = new ProgramId(call.caller().scoped(programId));
    String previousTurn = call.caller().scoped(attributes.previousTurn());
    task =
        context
            .history()
            .find(program, previousTurn, searchLimits(), lookup -> onFound(lookup, callback));
  }

  private SearchLimits searchLimits() {
    long now = context.eventLoop().nanoTime();
    long remainingNanos = Math.max(0, call.deadlineNanos() - now);
    return new SearchLimits(
        now + LOOKUP_TIMEOUT_MILLIS * 1_000_000,
        now + remainingNanos / WAIT_DENOMINATOR * WAIT_NUMERATOR);
  }

  private void onFound(Lookup lookup, Consumer<Lookup> callback) {
    if (lookup instanceof Lookup.Found found) {
      ancestors = found.conversation().ids();
    }
    callback.accept(lookup);
  }

  /**
   * Stores the call's own turn.
   *
   * @param callback receives whether the store has the turn; storing is not tried again after the
   *     call's deadline
   */
  void store(byte[] output, Consumer<Boolean> callback) {
    String turnId = call.caller().scoped(call.attributes().requestId());
    StoredTurn turn = new StoredTurn(turnId, ancestors, call.request().body(), output);
    task = context.history().save(turn, call.deadlineNanos(), callback);
  }

  /** Ends the search, or the storing of the call's own turn, since the call has ended. */
  void close() {
    task.cancel();
  }
}
