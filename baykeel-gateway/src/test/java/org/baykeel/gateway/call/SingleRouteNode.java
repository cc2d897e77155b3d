package org.baykeel.gateway.call;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.baykeel.gateway.admission.ProgramAdmission;
import org.baykeel.gateway.buffering.ResponseBytesLimiter;
import org.baykeel.gateway.configuration.Backend;
import org.baykeel.gateway.configuration.GatewayConfiguration;
import org.baykeel.gateway.configuration.RequestLimits;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.configuration.ServiceProfile;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.directory.EngineDirectory;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineRecord;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.fairness.AdmissionShares;
import org.baykeel.gateway.history.ConversationBounds;
import org.baykeel.gateway.history.TurnHistory;
import org.baykeel.gateway.history.TurnSource;
import org.baykeel.gateway.quarantine.Quarantine;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.storage.StoreHealth;
import org.baykeel.gateway.testing.TestingContext;
import org.baykeel.gateway.testing.TestingEventLoop;
import org.baykeel.gateway.testing.TestingStore;
import org.baykeel.gateway.testing.TestingTransport;

/** A node in virtual time with one route to one service, of one engine unless others are added. */
final class SingleRouteNode {
  private static final EngineId ID = new EngineId("e");
  private static final int TOKENS_PER_EVENT = 25;

  private final TestingEventLoop eventLoop = new TestingEventLoop();
  private final TestingStore store = new TestingStore(eventLoop);
  private final TestingTransport transport = new TestingTransport();
  private final EngineDirectory engines = new EngineDirectory(1);
  private final ProgramAdmission admission =
      new ProgramAdmission(engines, new Random(1), AdmissionShares.EVEN, (event, fields) -> {});
  private final GatewayState state;
  private final CallCoordinator coordinator;
  private final GatewayContext context;

  /** Creates a node whose route gives a request three seconds and allows three runs. */
  SingleRouteNode(RouteKind kind, boolean resumable) {
    this(kind, resumable, Quarantine.NONE);
  }

  /** Creates such a node with a quarantine. */
  SingleRouteNode(RouteKind kind, boolean resumable, Quarantine quarantine) {
    this(
        route(kind, resumable, false),
        quarantine,
        ConversationBounds.ofNode(1 << 20),
        ResponseBytesLimiter.Bounds.DEFAULT);
  }

  /** Creates a node whose route retains turns, with limits of the memory for them. */
  static SingleRouteNode retaining(ConversationBounds bounds) {
    return retaining(bounds, ResponseBytesLimiter.Bounds.DEFAULT);
  }

  /** The same with limits of what is held of responses. */
  static SingleRouteNode retaining(
      ConversationBounds bounds, ResponseBytesLimiter.Bounds responses) {
    return new SingleRouteNode(
        route(RouteKind.STREAMING, false, true), Quarantine.NONE, bounds, responses);
  }

  private SingleRouteNode(
      Route route,
      Quarantine quarantine,
      ConversationBounds bounds,
      ResponseBytesLimiter.Bounds responses) {
    StoreHealth storeHealth = new StoreHealth();
    storeHealth.answered(eventLoop.nanoTime());
    state = new GatewayState(eventLoop, storeHealth, engines, (event, fields) -> {});
    startEngine(1_000);
    context =
        new TestingContext(eventLoop, state, engines, store, storeHealth, transport)
            .admission(admission)
            .quarantine(quarantine)
            .responses(responses)
            .history(new TurnHistory(store, eventLoop, bounds, TurnSource.NONE))
            .build();
    coordinator = new CallCoordinator(context);
    state.adoptIfNewer(
        new GatewayConfiguration(
            1,
            List.of(route),
            List.of(new ServiceProfile("s", 100, TOKENS_PER_EVENT)),
            RequestLimits.DEFAULT));
  }

  private static Route route(RouteKind kind, boolean resumable, boolean retained) {
    return new Route(
        "r",
        "h",
        "/",
        kind,
        3_000,
        200,
        300,
        1,
        List.of(new Backend("s", 1)),
        3,
        retained,
        retained ? 60_000 : 0,
        false,
        resumable,
        false,
        Residency.ANY);
  }

  TestingEventLoop eventLoop() {
    return eventLoop;
  }

  /** Starts a planned stop with a grace period in milliseconds. */
  void stop(long graceMillis) {
    state.stop(StopSchedule.of(eventLoop.nanoTime(), graceMillis));
  }

  TestingStore store() {
    return store;
  }

  TurnHistory history() {
    return context.history();
  }

  ResponseBytesLimiter responseBytes() {
    return context.responseBytes();
  }

  TestingTransport transport() {
    return transport;
  }

  EngineDirectory engines() {
    return engines;
  }

  Engine engine() {
    return engines.find(ID);
  }

  /** The engine reports the time at which it started. */
  void startEngine(long millis) {
    engines.put(
        new EngineRecord(ID.value(), "s", "10.0.0.1", 80, "z", 8, false, 0, millis),
        eventLoop.nanoTime());
  }

  /** Adds an engine of a software version, or changes the entry of a known one. */
  void putEngine(String id, String version, boolean draining) {
    engines.put(
        new EngineRecord(
            id,
            "s",
            "10.0.0.2",
            80,
            "z",
            1,
            draining,
            0,
            0,
            Optional.of(new SoftwareVersion(version))),
        eventLoop.nanoTime());
  }

  /** Requests wait long at the engines, so that no program may start. */
  void observeLongWaits() {
    for (int i = 0; i < 100; i++) {
      admission.observeWait("s", 2_000, eventLoop.nanoTime());
    }
  }

  /** Resumes a stream that belongs to no program, after its first event. */
  void resume(CallResponder responder, String firstRequestId) {
    resume(responder, firstRequestId, null);
  }

  /** Resumes a stream after its first event. */
  void resume(CallResponder responder, String firstRequestId, String program) {
    call(
        responder,
        new CallAttributes(
            "again",
            3_000,
            -1,
            program,
            program,
            CallAttributes.ABSENT,
            500,
            null,
            List.of(),
            null,
            1,
            firstRequestId,
            null,
            null));
  }

  /** Makes a request that belongs to no program. */
  ClientCall call(CallResponder responder) {
    return call(responder, null, CallAttributes.ABSENT);
  }

  /** Makes a request of a program. */
  ClientCall call(CallResponder responder, String program, long tokenBudget) {
    return call(responder, program, tokenBudget, 3_000);
  }

  /** Makes a request whose caller waits for some milliseconds. */
  ClientCall callWaiting(CallResponder responder, long millis) {
    return call(responder, null, CallAttributes.ABSENT, millis);
  }

  private ClientCall call(
      CallResponder responder, String program, long tokenBudget, long waitMillis) {
    CallAttributes attributes =
        new CallAttributes(
            "i",
            waitMillis,
            -1,
            program,
            program,
            tokenBudget,
            500,
            List.of(),
            null,
            -1,
            null,
            null);
    return call(responder, attributes);
  }

  /** Sends a turn without a budget; {@code previousTurn} may be null. */
  ClientCall call(CallResponder responder, String id, String previousTurn, int inputBytes) {
    CallAttributes attributes =
        new CallAttributes(
            id,
            3_000,
            -1,
            "p",
            "s",
            CallAttributes.ABSENT,
            500,
            List.of(),
            previousTurn,
            CallAttributes.ABSENT,
            null,
            null);
    return call(responder, attributes, new byte[inputBytes]);
  }

  private ClientCall call(CallResponder responder, CallAttributes attributes) {
    return call(responder, attributes, new byte[1]);
  }

  private ClientCall call(CallResponder responder, CallAttributes attributes, byte[] body) {
    return coordinator.accept(
        new CallRequest(
            "POST", "/x", "h", new DefaultHttpHeaders(), body, attributes, eventLoop.nanoTime()),
        responder);
  }
}
