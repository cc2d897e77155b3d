package org.baykeel.gateway.testing;

import java.util.Random;
import java.util.random.RandomGenerator;
import org.baykeel.gateway.admission.ProgramAdmission;
import org.baykeel.gateway.budget.GrantIds;
import org.baykeel.gateway.budget.GrantSource;
import org.baykeel.gateway.budget.ProgramBudgets;
import org.baykeel.gateway.buffering.ResponseBytesLimiter;
import org.baykeel.gateway.call.EngineTransport;
import org.baykeel.gateway.call.GatewayContext;
import org.baykeel.gateway.call.GatewayState;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.fairness.AdmissionShares;
import org.baykeel.gateway.history.ConversationBounds;
import org.baykeel.gateway.history.TurnHistory;
import org.baykeel.gateway.history.TurnSource;
import org.baykeel.gateway.quarantine.Quarantine;
import org.baykeel.gateway.ratelimit.RequestLimiter;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.BackendSelector;
import org.baykeel.gateway.scheduling.EngineSelector;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.tenancy.KeyAuthenticator;
import org.baykeel.gateway.urgency.Urgency;

/**
 * Builds the context of a node without tenants, limits, peers and ranks. A test sets the components
 * that it is about.
 */
public final class TestingContext {
  /** As for a node whose heap holds the large responses by which tests fill sockets. */
  private static final ResponseBytesLimiter.Bounds RESPONSES =
      new ResponseBytesLimiter.Bounds(64 << 20, 64 << 20, 64 << 20);

  private static final ConversationBounds CONVERSATIONS = ConversationBounds.ofNode(1 << 20);

  private final EventLoop eventLoop;
  private final GatewayState state;
  private final EngineDirectory engines;
  private final DurableStore store;
  private final StoreHealth storeHealth;
  private final EngineTransport transport;
  private RandomGenerator random = new Random(1);
  private KeyAuthenticator authenticator;
  private RequestLimiter limiter = RequestLimiter.NONE;
  private ProgramAdmission admission;
  private ProgramBudgets budgets;
  private TurnHistory history;
  private Urgency urgency = Urgency.NONE;
  private Quarantine quarantine = Quarantine.NONE;
  private ResponseBytesLimiter.Bounds responses = RESPONSES;
  private GatewayLog log = (event, fields) -> {};

  /**
   * Creates a builder with the components that each node has.
   *
   * @param engines the engines of {@code state}
   * @param store keeps budgets and turns
   * @param transport sends requests to engines
   */
  public TestingContext(
      EventLoop eventLoop,
      GatewayState state,
      EngineDirectory engines,
      DurableStore store,
      StoreHealth storeHealth,
      EngineTransport transport) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.engines = engines;
    this.store = store;
    this.storeHealth = storeHealth;
    this.transport = transport;
    this.authenticator = TestingTenancy.withoutKeys(eventLoop);
  }

  /** Sets the source of random numbers of the selection and the admission. */
  public TestingContext random(RandomGenerator newRandom) {
    random = newRandom;
    return this;
  }

  /** Sets the check of keys. */
  public TestingContext authenticator(KeyAuthenticator newAuthenticator) {
    authenticator = newAuthenticator;
    return this;
  }

  /** Sets the limits of tenants. */
  public TestingContext limiter(RequestLimiter newLimiter) {
    limiter = newLimiter;
    return this;
  }

  /** Sets the admission of programs. */
  public TestingContext admission(ProgramAdmission newAdmission) {
    admission = newAdmission;
    return this;
  }

  /** Sets the budgets of programs. */
  public TestingContext budgets(ProgramBudgets newBudgets) {
    budgets = newBudgets;
    return this;
  }

  /** Sets the stored turns. */
  public TestingContext history(TurnHistory newHistory) {
    history = newHistory;
    return this;
  }

  /** Sets the ranks of requests. */
  public TestingContext urgency(Urgency newUrgency) {
    urgency = newUrgency;
    return this;
  }

  /** Sets the quarantine of requests. */
  public TestingContext quarantine(Quarantine newQuarantine) {
    quarantine = newQuarantine;
    return this;
  }

  /** Sets the limits of what is held of responses. */
  public TestingContext responses(ResponseBytesLimiter.Bounds newResponses) {
    responses = newResponses;
    return this;
  }

  /** Sets the log of calls. */
  public TestingContext log(GatewayLog newLog) {
    log = newLog;
    return this;
  }

  /** Returns the context. */
  public GatewayContext build() {
    return new GatewayContext(
        eventLoop,
        state,
        authenticator,
        limiter,
        new EngineSelector(engines, "z", random),
        new BackendSelector(),
        admission == null
            ? new ProgramAdmission(engines, random, AdmissionShares.EVEN, (event, fields) -> {})
            : admission,
        budgets == null
            ? new ProgramBudgets(store, eventLoop, new GrantIds(1), GrantSource.NONE)
            : budgets,
        history == null
            ? new TurnHistory(store, eventLoop, CONVERSATIONS, TurnSource.NONE)
            : history,
        new TestingStreamVersions(),
        quarantine,
        urgency,
        transport,
        new ResponseBytesLimiter(responses),
        storeHealth,
        log,
        new GatewayMetrics());
  }
}
