package org.baykeel.gateway.budget;

import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.program.ProgramId;

/** Where a process that takes over a program gets what another one has left of its grant. */
public interface GrantSource {

  /** A source of a process that has no others. */
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
   * Asks for what another process has left of a program's grant.
   *
   * @param answer takes the tokens, exactly once; nothing if no process gives any in time
   */
  void request(ProgramId program, Consumer<Optional<GrantTransfer>> answer);

  /** This process was the last to be granted tokens of a program; others may ask it for them. */
  void announceHolder(ProgramId program);
}
