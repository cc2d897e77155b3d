package org.baykeel.gateway.history;

import java.util.List;
import java.util.function.Consumer;
import org.baykeel.gateway.program.ProgramId;

/**
 * Requests turns that another process has in memory, for a process that takes a conversation over.
 */
@FunctionalInterface
public interface TurnSource {

  /** A source for a process without peers. */
  TurnSource NONE = (program, turnId, answer) -> answer.accept(List.of());

  /**
   * Requests a turn and all turns that it continues.
   *
   * @param program the program that continues the turn
   * @param answer receives the turns that were found exactly once; possibly none
   */
  void request(ProgramId program, String turnId, Consumer<List<StoredTurn>> answer);
}
