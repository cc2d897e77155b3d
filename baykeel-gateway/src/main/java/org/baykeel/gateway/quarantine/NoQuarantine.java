package org.baykeel.gateway.quarantine;

import java.util.List;
import java.util.function.IntSupplier;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.program.RequestFingerprint;

/** A quarantine that records nothing. */
final class NoQuarantine implements Quarantine {
  @Override
  public boolean isSuspectHead(IntSupplier head) {
    return false;
  }

  @Override
  public Verdict verdict(RequestFingerprint request) {
    return Verdict.CLEAR;
  }

  @Override
  public List<String> preferredEngines(RequestFingerprint suspect, String service) {
    return List.of();
  }

  @Override
  public void connectionLost(Engine engine, RequestFingerprint request, Runnable decided) {
    decided.run();
  }

  @Override
  public void responded(Engine engine, long sentNanos) {}

  @Override
  public void completed(RequestFingerprint suspect) {}

  @Override
  public void onFatalRequest(Runnable listener) {}
}
