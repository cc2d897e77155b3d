package org.baykeel.gateway.history;

import java.util.List;
import java.util.function.Consumer;
import org.baykeel.gateway.program.ProgramId;

/** Where a process that takes over a line of turns gets those that another one has in memory. */
@FunctionalInterface
public interface TurnSource {

  /** A source of a process that has no others. */
  TurnSource NONE = (program, turnId, answer) -> answer.accept(List.of());

  /**
   * Asks for a turn and all it continues.
   *
   * @param program the program that continues it
   * @param answer takes what there is, exactly once; possibly nothing
   */
  void request(ProgramId program, String turnId, Consumer<List<StoredTurn>> answer);
}
