package org.baykeel.gateway.peer;

import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;
import org.baykeel.protocol.generated.ReachabilityProbeDecoder;
import org.baykeel.protocol.generated.ReachabilityProbeEncoder;
import org.baykeel.protocol.generated.ReachabilityReplyDecoder;
import org.baykeel.protocol.generated.ReachabilityReplyEncoder;

/** Encodes the messages by which nodes find out whether they reach each other as SBE. */
final class ReachabilityCodec {
  private ReachabilityCodec() {}

  static int encode(
      PeerMessage.ReachabilityProbe probe, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    return new ReachabilityProbeEncoder()
        .wrapAndApplyHeader(buffer, 0, header)
        .probeId(probe.probeId())
        .evidenceDigest(probe.evidenceDigest())
        .encodedLength();
  }

  static int encode(
      PeerMessage.ReachabilityReply reply, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    return new ReachabilityReplyEncoder()
        .wrapAndApplyHeader(buffer, 0, header)
        .probeId(reply.probeId())
        .evidenceDigest(reply.evidenceDigest())
        .encodedLength();
  }

  static PeerMessage decodeProbe(UnsafeBuffer received, MessageHeaderDecoder header) {
    ReachabilityProbeDecoder decoder = new ReachabilityProbeDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    return new PeerMessage.ReachabilityProbe(decoder.probeId(), decoder.evidenceDigest());
  }

  static PeerMessage decodeReply(UnsafeBuffer received, MessageHeaderDecoder header) {
    ReachabilityReplyDecoder decoder = new ReachabilityReplyDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    return new PeerMessage.ReachabilityReply(decoder.probeId(), decoder.evidenceDigest());
  }
}
