package org.baykeel.gateway.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Predicate;
import org.baykeel.gateway.admission.LoadedService.Program;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Three times the room for eight seconds between ordinary demand, over 77 nodes of which each sees
 * its own programs and a late view of the engines.
 */
class TestAdmissionUnderLoad {
  private static final long CALM_MILLIS = 12_000;
  private static final long BURST_MILLIS = 8_000;
  private static final long AFTER_MILLIS = 12_000;

  /** From ordinary demand to full use takes the time of a program. */
  private static final long FILLING_MILLIS = 3_000;

  private static final long RECOVERY_MILLIS = 3_000;
  private static final double ORDINARY = 0.6;
  private static final double OF_THE_BEST = 0.9;
  private static final double IN_AIM_AGAIN = 0.95;
  private static final double HARDLY_ONE = 0.01;

  /** The most programs a second that end in their aim at any steady demand if none is refused. */
  private static double best;

  private long burst;
  private long end;

  @BeforeAll
  static void findTheBest() {
    for (double perSecond = 60; perSecond <= 140; perSecond += 5) {
      LoadedService service = new LoadedService(1, true);
      service.demand(perSecond, 16_000);
      service.eventLoop.advance(16_000);
      long from = service.millis() - 10_000;
      best =
          Math.max(
              best, count(service, program -> program.inAim() && program.endedMillis >= from) / 10);
    }
  }

  private static double count(LoadedService service, Predicate<Program> which) {
    return service.programs.stream().filter(which).count();
  }

  private void play(LoadedService service, double roomLeft, Runnable atBurst, Runnable within) {
    service.demand(best * ORDINARY, CALM_MILLIS);
    service.eventLoop.advance(CALM_MILLIS);
    burst = service.millis();
    end = burst + BURST_MILLIS;
    atBurst.run();
    service.demand(best * roomLeft * 3, BURST_MILLIS);
    service.eventLoop.advance(BURST_MILLIS / 4);
    within.run();
    service.eventLoop.advance(BURST_MILLIS * 3 / 4);
    service.demand(best * roomLeft * ORDINARY, AFTER_MILLIS);
    service.eventLoop.advance(AFTER_MILLIS + 4_000);
  }

  private double ofTheBest(LoadedService service) {
    double inAim =
        count(
            service,
            p -> p.inAim() && p.endedMillis >= burst + FILLING_MILLIS && p.endedMillis < end);
    return inAim * 1e3 / (BURST_MILLIS - FILLING_MILLIS) / best;
  }

  private double inAim(LoadedService service, long fromMillis, long toMillis) {
    Predicate<Program> begun = p -> p.begunMillis >= fromMillis && p.begunMillis < toMillis;
    return count(service, begun.and(Program::inAim)) / count(service, begun);
  }

  private double refused(LoadedService service, long fromMillis, long toMillis) {
    Predicate<Program> asked = p -> p.askedMillis >= fromMillis && p.askedMillis < toMillis;
    return count(service, asked.and(p -> p.refused)) / count(service, asked);
  }

  private String figures(LoadedService service) {
    return String.format(
        "of the best %.2f, in aim of those begun in the burst %.2f and after the recovery %.3f,"
            + " refused before %.4f and after the recovery %.4f",
        ofTheBest(service),
        inAim(service, burst, end),
        inAim(service, end + RECOVERY_MILLIS, Long.MAX_VALUE),
        refused(service, 0, burst),
        refused(service, end + RECOVERY_MILLIS, Long.MAX_VALUE));
  }

  private void assertServed(LoadedService service, double ofTheBest) {
    String figures = figures(service);
    assertTrue(ofTheBest(service) >= ofTheBest, figures);
    assertTrue(inAim(service, end + RECOVERY_MILLIS, Long.MAX_VALUE) >= IN_AIM_AGAIN, figures);
    assertTrue(refused(service, 0, burst) < HARDLY_ONE, figures);
    assertTrue(refused(service, end + RECOVERY_MILLIS, Long.MAX_VALUE) < HARDLY_ONE, figures);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void threeTimesTheRoomForEightSeconds(long seed) {
    LoadedService service = new LoadedService(seed, false);
    play(service, 1, () -> {}, () -> {});
    assertServed(service, OF_THE_BEST);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void threeTimesTheRoomThatIsLeftWhenAThirdOfTheEnginesLeave(long seed) {
    LoadedService service = new LoadedService(seed, false);
    play(service, 2.0 / 3, () -> service.loseEngines(LoadedService.ENGINES / 3), () -> {});
    assertServed(service, OF_THE_BEST * 2 / 3);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void threeTimesTheRoomWhileTheViewIsGone(long seed) {
    LoadedService service = new LoadedService(seed, false);
    play(service, 1, () -> {}, service::loseView);
    assertServed(service, OF_THE_BEST);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void threeTimesTheRoomWhereThereNeverWasAView(long seed) {
    LoadedService service = new LoadedService(seed, false);
    service.loseView();
    play(service, 1, () -> {}, () -> {});
    assertServed(service, OF_THE_BEST);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void threeTimesTheRoomWhileAllNodesRestart(long seed) {
    LoadedService service = new LoadedService(seed, false);
    play(service, 1, () -> {}, service::restartNodes);
    assertServed(service, OF_THE_BEST);
  }

  @ParameterizedTest(name = "{0} of the room for twenty seconds")
  @ValueSource(doubles = {0.3, 0.6, 0.75})
  void ordinaryDemandIsServedInItsAimAndHardlyAnybodyIsRefused(double partOfRoom) {
    LoadedService service = new LoadedService(1, false);
    service.demand(best * partOfRoom, 20_000);
    service.eventLoop.advance(24_000);
    assertTrue(refused(service, 0, Long.MAX_VALUE) < HARDLY_ONE, figures(service));
    assertTrue(inAim(service, 1, Long.MAX_VALUE) >= IN_AIM_AGAIN, figures(service));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void twiceTheRoomOfTwoKindsServesTheUrgentNoLessAndStarvesNone(long seed) {
    LoadedService service = new LoadedService(seed, false);
    service.demand("urgent", 0, best * ORDINARY / 2, CALM_MILLIS);
    service.demand("other", 2, best * ORDINARY / 2, CALM_MILLIS);
    service.eventLoop.advance(CALM_MILLIS);
    burst = service.millis();
    service.demand("urgent", 0, best, BURST_MILLIS);
    service.demand("other", 2, best, BURST_MILLIS);
    service.eventLoop.advance(BURST_MILLIS + 4_000);
    double urgent = admitted(service, "urgent");
    double other = admitted(service, "other");
    String shares = "urgent " + urgent + " other " + other;
    assertTrue(urgent >= other, shares);
    assertTrue(other >= urgent / 4, shares);
  }

  private double admitted(LoadedService service, String kind) {
    Predicate<Program> asked = p -> p.kind.equals(kind) && p.askedMillis >= burst + FILLING_MILLIS;
    return count(service, asked.and(p -> p.begunMillis > 0)) / count(service, asked);
  }
}
