package org.baykeel.gateway.quarantine;

import java.util.List;
import java.util.function.IntSupplier;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.program.RequestFingerprint;

/** A quarantine that records nothing. */
final class NoQuarantine implements Quarantine {
  /** A run of which nothing is recorded. */
  private static final EngineRun RUN =
      new EngineRun() {
        @Override
        public Verdict claim() {
          return Verdict.CLEAR;
        }

        @Override
        public void withdraw() {}

        @Override
        public void sent(Engine engine, long deadlineNanos) {}

        @Override
        public void closed() {}

        @Override
        public void completed() {}

        @Override
        public void abandoned() {}

        @Override
        public void connectionLost(Runnable decided) {
          decided.run();
        }
      };

  @Override
  public boolean isSuspectHead(IntSupplier head) {
    return false;
  }

  @Override
  public Verdict verdict(RequestFingerprint request) {
    return Verdict.CLEAR;
  }

  @Override
  public long retryMillis(RequestFingerprint request) {
    return 0;
  }

  @Override
  public List<String> preferredEngines(RequestFingerprint suspect, String service) {
    return List.of();
  }

  @Override
  public EngineRun newRun(RequestFingerprint.Builder work) {
    return RUN;
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
