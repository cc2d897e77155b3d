package org.baykeel.gateway.budget;

import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.program.ProgramId;

/**
 * Transfers the remaining tokens of a program's grant from the process that holds them to a process
 * that takes the program over.
 */
public interface GrantSource {

  /** A source for a process without peers. */
  GrantSource NONE =
      new GrantSource() {
        @Override
        public void request(ProgramId program, Consumer<Optional<GrantTransfer>> answer) {
          answer.accept(Optional.empty());
        }

        @Override
        public void announceHolder(ProgramId program) {}
      };

  /**
   * Requests the tokens that another process has remaining of a program's grant.
   *
   * @param answer receives the tokens exactly once; empty if no process transfers any in time
   */
  void request(ProgramId program, Consumer<Optional<GrantTransfer>> answer);

  /**
   * Announces that this process was the last to be granted tokens of a program, so that other
   * processes may request them from it.
   */
  void announceHolder(ProgramId program);
}
