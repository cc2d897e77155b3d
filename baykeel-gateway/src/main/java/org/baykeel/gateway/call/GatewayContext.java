package org.baykeel.gateway.call;

import org.baykeel.gateway.admission.ProgramAdmission;
import org.baykeel.gateway.budget.ProgramBudgets;
import org.baykeel.gateway.buffering.ResponseBytesLimiter;
import org.baykeel.gateway.history.TurnHistory;
import org.baykeel.gateway.quarantine.Quarantine;
import org.baykeel.gateway.ratelimit.RequestLimiter;
import org.baykeel.gateway.resumption.StreamVersions;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.scheduling.BackendSelector;
import org.baykeel.gateway.scheduling.EngineSelector;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.GatewayMetrics;
import org.baykeel.gateway.tenancy.KeyAuthenticator;
import org.baykeel.gateway.urgency.Urgency;

/**
 * The components that all calls of a node share.
 *
 * @param eventLoop the clock and the timers
 * @param state the configuration in force and the engines
 * @param authenticator finds the tenant of a key
 * @param limiter enforces the limits of tenants
 * @param selector selects engines
 * @param backendSelector splits routes among services
 * @param admission decides whether programs may start
 * @param budgets token budgets of programs
 * @param history stored turns
 * @param streamVersions knows the software versions of streams
 * @param quarantine knows the requests under which engines end
 * @param urgency ranks requests for engines
 * @param transport sends requests to engines
 * @param responseBytes limits the bytes that are held of incomplete responses
 * @param storeHealth whether this node reaches the store
 * @param log receives one line for each decision
 * @param metrics counts calls
 */
public record GatewayContext(
    EventLoop eventLoop,
    GatewayState state,
    KeyAuthenticator authenticator,
    RequestLimiter limiter,
    EngineSelector selector,
    BackendSelector backendSelector,
    ProgramAdmission admission,
    ProgramBudgets budgets,
    TurnHistory history,
    StreamVersions streamVersions,
    Quarantine quarantine,
    Urgency urgency,
    EngineTransport transport,
    ResponseBytesLimiter responseBytes,
    StoreHealth storeHealth,
    GatewayLog log,
    GatewayMetrics metrics) {}
