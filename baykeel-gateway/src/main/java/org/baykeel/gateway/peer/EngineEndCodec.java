package org.baykeel.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.protocol.generated.EngineEndNoticeDecoder;
import org.baykeel.protocol.generated.EngineEndNoticeEncoder;
import org.baykeel.protocol.generated.EngineEndWithdrawalDecoder;
import org.baykeel.protocol.generated.EngineEndWithdrawalEncoder;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;
import org.baykeel.protocol.generated.RequestClearanceDecoder;
import org.baykeel.protocol.generated.RequestClearanceEncoder;

/** Encodes the messages about engines that ended, and about the requests that they ran, as SBE. */
public final class EngineEndCodec {
  /** With so many requests and an engine's identifier of 256 bytes a message fits a datagram. */
  public static final int MAX_REQUESTS = 80;

  private static final long MAX_MILLIS = Integer.MAX_VALUE;

  private EngineEndCodec() {}

  static int encode(
      PeerMessage.EngineEndNotice notice, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    EngineEndNoticeEncoder encoder =
        new EngineEndNoticeEncoder()
            .wrapAndApplyHeader(buffer, 0, header)
            .startMillis(notice.engine().startMillis())
            .ageMillis(bounded(notice.ageMillis()));
    EngineEndNoticeEncoder.RequestsEncoder requests =
        encoder.requestsCount(notice.requests().size());
    for (RequestFingerprint request : notice.requests()) {
      requests.next().fingerprint(request.value());
    }
    return encoder.engineId(notice.engine().id().value()).encodedLength();
  }

  static int encode(
      PeerMessage.EngineEndWithdrawal withdrawal,
      UnsafeBuffer buffer,
      MessageHeaderEncoder header) {
    return new EngineEndWithdrawalEncoder()
        .wrapAndApplyHeader(buffer, 0, header)
        .startMillis(withdrawal.engine().startMillis())
        .ageMillis(bounded(withdrawal.ageMillis()))
        .engineId(withdrawal.engine().id().value())
        .encodedLength();
  }

  static int encode(
      PeerMessage.RequestClearance clearance, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    RequestClearanceEncoder encoder =
        new RequestClearanceEncoder()
            .wrapAndApplyHeader(buffer, 0, header)
            .ageMillis(bounded(clearance.ageMillis()));
    RequestClearanceEncoder.RequestsEncoder requests =
        encoder.requestsCount(clearance.requests().size());
    for (RequestFingerprint request : clearance.requests()) {
      requests.next().fingerprint(request.value());
    }
    return encoder.encodedLength();
  }

  static PeerMessage decodeNotice(UnsafeBuffer received, MessageHeaderDecoder header) {
    EngineEndNoticeDecoder decoder = new EngineEndNoticeDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    long startMillis = decoder.startMillis();
    long ageMillis = decoder.ageMillis();
    List<RequestFingerprint> requests = new ArrayList<>();
    for (EngineEndNoticeDecoder.RequestsDecoder request : decoder.requests()) {
      requireRoom(requests, received);
      requests.add(new RequestFingerprint(request.fingerprint()));
    }
    EngineId id = new EngineId(decoder.engineId());
    return new PeerMessage.EngineEndNotice(
        new EngineIncarnation(id, startMillis), ageMillis, requests);
  }

  static PeerMessage decodeWithdrawal(UnsafeBuffer received, MessageHeaderDecoder header) {
    EngineEndWithdrawalDecoder decoder = new EngineEndWithdrawalDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    long startMillis = decoder.startMillis();
    long ageMillis = decoder.ageMillis();
    EngineId id = new EngineId(decoder.engineId());
    return new PeerMessage.EngineEndWithdrawal(
        new EngineIncarnation(id, startMillis),
        ageMillis == EngineEndWithdrawalDecoder.ageMillisNullValue() ? 0 : ageMillis);
  }

  static PeerMessage decodeClearance(UnsafeBuffer received, MessageHeaderDecoder header) {
    RequestClearanceDecoder decoder = new RequestClearanceDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    long ageMillis = decoder.ageMillis();
    List<RequestFingerprint> requests = new ArrayList<>();
    for (RequestClearanceDecoder.RequestsDecoder request : decoder.requests()) {
      requireRoom(requests, received);
      requests.add(new RequestFingerprint(request.fingerprint()));
    }
    return new PeerMessage.RequestClearance(
        requests, ageMillis == RequestClearanceDecoder.ageMillisNullValue() ? 0 : ageMillis);
  }

  private static long bounded(long millis) {
    return Math.max(0, Math.min(MAX_MILLIS, millis));
  }

  /** Elements that a message gives the length 0 would otherwise not be bounded by its length. */
  private static void requireRoom(List<RequestFingerprint> decoded, UnsafeBuffer received) {
    if ((decoded.size() + 1) * Long.BYTES > received.capacity()) {
      throw new IllegalArgumentException("message has more requests than bytes for them");
    }
  }
}
