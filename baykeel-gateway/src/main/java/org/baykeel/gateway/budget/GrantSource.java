package org.baykeel.gateway.budget;

import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.program.ProgramId;

/**
 * Transfers the unused granted tokens of a program from the node that holds them to a node that
 * takes the program over.
 */
public interface GrantSource {

  /** A source for a node without peers. */
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
   * Requests the unused granted tokens of a program from the node that holds them.
   *
   * @param answer receives the tokens exactly once; empty if no node transfers any in time
   */
  void request(ProgramId program, Consumer<Optional<GrantTransfer>> answer);

  /**
   * Announces that this node now holds the granted tokens of a program, so that other nodes may
   * request them from it.
   */
  void announceHolder(ProgramId program);
}
