package org.baykeel.gateway.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Predicate;
import org.baykeel.gateway.admission.ServiceSimulation.Program;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Demand of three times the capacity for eight seconds, with ordinary demand before and after it,
 * at 77 nodes. Each node sees only its own programs and outdated load reports, so that the nodes
 * together could admit too many or too few programs.
 */
class TestAdmissionUnderLoad {
  private static final long CALM_MILLIS = 12_000;
  private static final long BURST_MILLIS = 8_000;
  private static final long AFTER_MILLIS = 12_000;

  /** The rise from ordinary demand to full use takes the duration of a program. */
  private static final long RISE_MILLIS = 3_000;

  private static final long RECOVERY_MILLIS = 3_000;
  private static final double ORDINARY_PART = 0.6;
  private static final double MIN_PART_OF_BEST = 0.9;
  private static final double MIN_IN_TIME = 0.95;
  private static final double MAX_REFUSED = 0.01;

  /** The most programs per second that finish in time at any steady demand if none is refused. */
  private static double bestPerSecond;

  private long burst;
  private long end;

  @BeforeAll
  static void findBestRate() {
    for (double perSecond = 60; perSecond <= 140; perSecond += 5) {
      ServiceSimulation service = new ServiceSimulation(1, true);
      service.demand(perSecond, 16_000);
      service.eventLoop.advance(16_000);
      long from = service.millis() - 10_000;
      bestPerSecond =
          Math.max(
              bestPerSecond,
              count(service, program -> program.inTime() && program.finishedMillis >= from) / 10);
    }
  }

  private static double count(ServiceSimulation service, Predicate<Program> which) {
    return service.programs.stream().filter(which).count();
  }

  private void simulate(
      ServiceSimulation service,
      double remainingPart,
      Runnable atBurstStart,
      Runnable duringBurst) {
    service.demand(bestPerSecond * ORDINARY_PART, CALM_MILLIS);
    service.eventLoop.advance(CALM_MILLIS);
    burst = service.millis();
    end = burst + BURST_MILLIS;
    atBurstStart.run();
    service.demand(bestPerSecond * remainingPart * 3, BURST_MILLIS);
    service.eventLoop.advance(BURST_MILLIS / 4);
    duringBurst.run();
    service.eventLoop.advance(BURST_MILLIS * 3 / 4);
    service.demand(bestPerSecond * remainingPart * ORDINARY_PART, AFTER_MILLIS);
    service.eventLoop.advance(AFTER_MILLIS + 4_000);
  }

  private double partOfBest(ServiceSimulation service) {
    double inTime =
        count(
            service,
            p -> p.inTime() && p.finishedMillis >= burst + RISE_MILLIS && p.finishedMillis < end);
    return inTime * 1e3 / (BURST_MILLIS - RISE_MILLIS) / bestPerSecond;
  }

  private double inTime(ServiceSimulation service, long fromMillis, long toMillis) {
    Predicate<Program> started = p -> p.startedMillis >= fromMillis && p.startedMillis < toMillis;
    return count(service, started.and(Program::inTime)) / count(service, started);
  }

  private double refused(ServiceSimulation service, long fromMillis, long toMillis) {
    Predicate<Program> requested =
        p -> p.requestedMillis >= fromMillis && p.requestedMillis < toMillis;
    return count(service, requested.and(p -> p.refused)) / count(service, requested);
  }

  private String figures(ServiceSimulation service) {
    return String.format(
        "part of the best rate %.2f, in time of those started in the burst %.2f and after"
            + " recovery %.3f, refused before the burst %.4f and after recovery %.4f",
        partOfBest(service),
        inTime(service, burst, end),
        inTime(service, end + RECOVERY_MILLIS, Long.MAX_VALUE),
        refused(service, 0, burst),
        refused(service, end + RECOVERY_MILLIS, Long.MAX_VALUE));
  }

  private void assertServed(ServiceSimulation service, double partOfBest) {
    String figures = figures(service);
    assertTrue(partOfBest(service) >= partOfBest, figures);
    assertTrue(inTime(service, end + RECOVERY_MILLIS, Long.MAX_VALUE) >= MIN_IN_TIME, figures);
    assertTrue(refused(service, 0, burst) < MAX_REFUSED, figures);
    assertTrue(refused(service, end + RECOVERY_MILLIS, Long.MAX_VALUE) < MAX_REFUSED, figures);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void tripleDemandForEightSeconds(long seed) {
    ServiceSimulation service = new ServiceSimulation(seed, false);
    simulate(service, 1, () -> {}, () -> {});
    assertServed(service, MIN_PART_OF_BEST);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void tripleDemandWhenAThirdOfTheEnginesIsRemoved(long seed) {
    ServiceSimulation service = new ServiceSimulation(seed, false);
    simulate(service, 2.0 / 3, () -> service.loseEngines(ServiceSimulation.ENGINES / 3), () -> {});
    assertServed(service, MIN_PART_OF_BEST * 2 / 3);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void tripleDemandWhileLoadReportsAreLost(long seed) {
    ServiceSimulation service = new ServiceSimulation(seed, false);
    simulate(service, 1, () -> {}, service::loseReports);
    assertServed(service, MIN_PART_OF_BEST);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void tripleDemandWithoutAnyLoadReport(long seed) {
    ServiceSimulation service = new ServiceSimulation(seed, false);
    service.loseReports();
    simulate(service, 1, () -> {}, () -> {});
    assertServed(service, MIN_PART_OF_BEST);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void tripleDemandWhileAllNodesRestart(long seed) {
    ServiceSimulation service = new ServiceSimulation(seed, false);
    simulate(service, 1, () -> {}, service::restartNodes);
    assertServed(service, MIN_PART_OF_BEST);
  }

  @ParameterizedTest(name = "{0} of the capacity for twenty seconds")
  @ValueSource(doubles = {0.3, 0.6, 0.75})
  void ordinaryDemandIsServedInTimeAndHardlyAnyProgramIsRefused(double partOfCapacity) {
    ServiceSimulation service = new ServiceSimulation(1, false);
    service.demand(bestPerSecond * partOfCapacity, 20_000);
    service.eventLoop.advance(24_000);
    assertTrue(refused(service, 0, Long.MAX_VALUE) < MAX_REFUSED, figures(service));
    assertTrue(inTime(service, 1, Long.MAX_VALUE) >= MIN_IN_TIME, figures(service));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void doubleDemandOfTwoRoutesServesTheUrgentRouteNoLessAndStarvesNeither(long seed) {
    ServiceSimulation service = new ServiceSimulation(seed, false);
    service.demand("urgent", 0, bestPerSecond * ORDINARY_PART / 2, CALM_MILLIS);
    service.demand("other", 2, bestPerSecond * ORDINARY_PART / 2, CALM_MILLIS);
    service.eventLoop.advance(CALM_MILLIS);
    burst = service.millis();
    service.demand("urgent", 0, bestPerSecond, BURST_MILLIS);
    service.demand("other", 2, bestPerSecond, BURST_MILLIS);
    service.eventLoop.advance(BURST_MILLIS + 4_000);
    double urgent = admitted(service, "urgent");
    double other = admitted(service, "other");
    String shares = "urgent " + urgent + " other " + other;
    assertTrue(urgent >= other, shares);
    assertTrue(other >= urgent / 4, shares);
  }

  private double admitted(ServiceSimulation service, String route) {
    Predicate<Program> requested =
        p -> p.route.equals(route) && p.requestedMillis >= burst + RISE_MILLIS;
    return count(service, requested.and(p -> p.startedMillis > 0)) / count(service, requested);
  }
}
