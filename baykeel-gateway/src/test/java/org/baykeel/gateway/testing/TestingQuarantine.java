package org.baykeel.gateway.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.quarantine.EngineRun;
import org.baykeel.gateway.quarantine.Quarantine;
import org.baykeel.gateway.quarantine.Verdict;

/** A quarantine whose verdict on all requests the test sets, and whose checks the test ends. */
public final class TestingQuarantine implements Quarantine {
  private final List<Runnable> checks = new ArrayList<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private final Set<RequestFingerprint> lost = new TreeSet<>();
  private final Set<RequestFingerprint> completed = new TreeSet<>();
  private List<String> preferred = List.of();
  private Verdict verdict = Verdict.CLEAR;

  /** Sets the verdict; listeners are notified of a fatal request. */
  public void verdict(Verdict newVerdict) {
    verdict = newVerdict;
    if (verdict == Verdict.FATAL) {
      listeners.forEach(Runnable::run);
    }
  }

  /** Sets the engines that should run suspects. */
  public void prefer(String... engineIds) {
    preferred = List.of(engineIds);
  }

  /** Ends the checks of all engines whose connections were lost. */
  public void endChecks() {
    List<Runnable> ended = List.copyOf(checks);
    checks.clear();
    ended.forEach(Runnable::run);
  }

  /** Returns the fingerprints of the requests that lost their connections. */
  public Set<RequestFingerprint> lost() {
    return lost;
  }

  /** Returns the fingerprints of the requests that completed. */
  public Set<RequestFingerprint> completed() {
    return completed;
  }

  @Override
  public boolean isSuspectHead(IntSupplier head) {
    return verdict != Verdict.CLEAR;
  }

  @Override
  public Verdict verdict(RequestFingerprint request) {
    return verdict;
  }

  @Override
  public List<String> preferredEngines(RequestFingerprint suspect, String service) {
    return preferred;
  }

  @Override
  public long retryMillis(RequestFingerprint request) {
    return 1_000;
  }

  @Override
  public EngineRun newRun(RequestFingerprint.Builder work) {
    return new TestingRun(work);
  }

  /** A run that reports lost connections to the quarantine. */
  private final class TestingRun implements EngineRun {
    private final RequestFingerprint.Builder work;
    private Engine engine;

    TestingRun(RequestFingerprint.Builder work) {
      this.work = work;
    }

    @Override
    public Verdict claim() {
      return verdict;
    }

    @Override
    public void withdraw() {}

    @Override
    public void sent(Engine newEngine, long deadlineNanos) {
      engine = newEngine;
    }

    @Override
    public void closed() {}

    @Override
    public void completed() {}

    @Override
    public void abandoned() {}

    @Override
    public void connectionLost(Runnable decided) {
      TestingQuarantine.this.connectionLost(engine, work.build(), decided);
    }
  }

  @Override
  public void connectionLost(Engine engine, RequestFingerprint request, Runnable decided) {
    lost.add(request);
    checks.add(decided);
  }

  @Override
  public void responded(Engine engine, long sentNanos) {}

  @Override
  public void completed(RequestFingerprint suspect) {
    completed.add(suspect);
  }

  @Override
  public void onFatalRequest(Runnable listener) {
    listeners.add(listener);
  }
}
