package org.baykeel.gateway.peer;

import java.util.Optional;
import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.protocol.generated.EngineRunNoticeDecoder;
import org.baykeel.protocol.generated.EngineRunNoticeEncoder;
import org.baykeel.protocol.generated.EngineRunQueryDecoder;
import org.baykeel.protocol.generated.EngineRunQueryEncoder;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;

/** Encodes the messages about runs of requests at engines as SBE. */
final class EngineRunCodec {
  private static final long MAX_MILLIS = Integer.MAX_VALUE;

  private EngineRunCodec() {}

  static int encode(
      PeerMessage.EngineRunNotice notice, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    return new EngineRunNoticeEncoder()
        .wrapAndApplyHeader(buffer, 0, header)
        .runId(notice.runId())
        .fingerprint(notice.request().value())
        .startMillis(notice.engine().startMillis())
        .ageMillis(bounded(notice.ageMillis()))
        .remainingMillis(bounded(notice.remainingMillis()))
        .phase((short) notice.phase().code())
        .engineId(notice.engine().id().value())
        .encodedLength();
  }

  static int encode(
      PeerMessage.EngineRunQuery query, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    return new EngineRunQueryEncoder()
        .wrapAndApplyHeader(buffer, 0, header)
        .runId(query.runId())
        .encodedLength();
  }

  static PeerMessage decodeQuery(UnsafeBuffer received, MessageHeaderDecoder header) {
    EngineRunQueryDecoder decoder = new EngineRunQueryDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    return new PeerMessage.EngineRunQuery(decoder.runId());
  }

  private static long bounded(long millis) {
    return Math.max(0, Math.min(MAX_MILLIS, millis));
  }

  static Optional<PeerMessage> decode(UnsafeBuffer received, MessageHeaderDecoder header) {
    EngineRunNoticeDecoder decoder = new EngineRunNoticeDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    long runId = decoder.runId();
    RequestFingerprint request = new RequestFingerprint(decoder.fingerprint());
    long startMillis = decoder.startMillis();
    long ageMillis = decoder.ageMillis();
    long remainingMillis = decoder.remainingMillis();
    Optional<RunPhase> phase = RunPhase.ofCode(decoder.phase());
    EngineIncarnation engine = new EngineIncarnation(new EngineId(decoder.engineId()), startMillis);
    return phase.map(
        known ->
            new PeerMessage.EngineRunNotice(
                runId, request, engine, known, ageMillis, remainingMillis));
  }
}
