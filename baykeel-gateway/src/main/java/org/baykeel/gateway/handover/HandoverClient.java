package org.baykeel.gateway.handover;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.baykeel.gateway.budget.GrantSource;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.history.TurnSource;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/** Requests a program's state from the node that served it last. */
public final class HandoverClient implements GrantSource, TurnSource {
  private final HolderDirectory holders;
  private final HandoverTransport transport;
  private final GatewayLog log;

  /**
   * Creates a client.
   *
   * @param holders finds the node that served a program last
   * @param transport sends requests to that node
   */
  public HandoverClient(HolderDirectory holders, HandoverTransport transport, GatewayLog log) {
    this.holders = holders;
    this.transport = transport;
    this.log = log;
  }

  @Override
  public void request(ProgramId program, Consumer<Optional<GrantTransfer>> answer) {
    holders.locate(
        program,
        holder -> {
          if (holder.isEmpty()) {
            answer.accept(Optional.empty());
            return;
          }
          transport.requestGrant(
              holder.get(),
              program,
              transfer -> {
                log.write(
                    GatewayEvent.PROGRAM_TAKEN_OVER,
                    "program",
                    program.value(),
                    "peer",
                    holder.get(),
                    "tokens",
                    transfer.map(GrantTransfer::tokens).orElse(-1L));
                answer.accept(transfer);
              });
        });
  }

  @Override
  public void announceHolder(ProgramId program) {
    holders.announceHolder(program);
  }

  @Override
  public void request(ProgramId program, String turnId, Consumer<List<StoredTurn>> answer) {
    holders.locate(
        program,
        holder -> {
          if (holder.isEmpty()) {
            answer.accept(List.of());
          } else {
            transport.requestTurns(holder.get(), turnId, answer);
          }
        });
  }
}
