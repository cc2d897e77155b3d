package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import org.baykeel.core.scheduling.CallDemand;
import org.baykeel.core.scheduling.WaitingCall;

/** A model call's place in the node's scheduler. */
final class EngineTicket implements WaitingCall {
  private final ShardCoordinator coordinator;
  private final LiveProgram program;
  private final LiveCall call;
  private final ProgramState state;
  private final CallDemand demand;
  private final int classPriority;
  private final long attainedService;

  EngineTicket(
      ShardCoordinator coordinator,
      LiveProgram program,
      LiveCall call,
      ProgramState state,
      CallDemand demand,
      int classPriority) {
    this.coordinator = requireNonNull(coordinator, "coordinator");
    this.program = requireNonNull(program, "program");
    this.call = requireNonNull(call, "call");
    this.state = requireNonNull(state, "state");
    this.demand = requireNonNull(demand, "demand");
    this.classPriority = classPriority;
    this.attainedService = state.attainedService();
  }

  @Override
  public CallDemand demand() {
    return demand;
  }

  @Override
  public int classPriority() {
    return classPriority;
  }

  @Override
  public long attainedService() {
    return attainedService;
  }

  @Override
  public long waitingSinceMillis() {
    return call.arrivedMillis;
  }

  @Override
  public String cachedOn() {
    return state.lastEngine();
  }

  @Override
  public int cachedTokens() {
    return state.historyTokens();
  }

  @Override
  public void dispatchTo(String engine, long nowMillis) {
    coordinator.dispatchModelCall(program, call, engine, nowMillis);
  }

  @Override
  public void displaced(int retryAfterMillis, long nowMillis) {
    coordinator.displaced(program, call, retryAfterMillis, nowMillis);
  }
}
