package org.baykeel.gateway.peer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;
import org.baykeel.protocol.generated.StreamVersionNoticeDecoder;
import org.baykeel.protocol.generated.StreamVersionNoticeEncoder;
import org.baykeel.protocol.generated.StreamVersionQueryDecoder;
import org.baykeel.protocol.generated.StreamVersionQueryEncoder;
import org.baykeel.protocol.generated.StreamVersionReplyDecoder;
import org.baykeel.protocol.generated.StreamVersionReplyEncoder;

/**
 * Encodes the messages about software versions of streams as SBE, and splits notices so that each
 * fits into one datagram.
 */
public final class StreamVersionCodec {
  private static final int LENGTH_FIELD_BYTES = 2;
  private static final int EMPTY_NOTICE_BYTES =
      MessageHeaderEncoder.ENCODED_LENGTH
          + StreamVersionNoticeEncoder.BLOCK_LENGTH
          + StreamVersionNoticeEncoder.StreamsEncoder.sbeHeaderSize();

  /** The longest text of a field, in bytes of UTF-8, with which every message fits a datagram. */
  private static final int MAX_TEXT_BYTES = 256;

  private StreamVersionCodec() {}

  /** Returns whether a text is short enough for a field of a message. */
  public static boolean fits(String text) {
    return bytes(text) <= MAX_TEXT_BYTES;
  }

  private static int bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  /**
   * Splits the streams into notices that each fit into one datagram. A stream with a text that does
   * not fit is omitted.
   */
  public static List<PeerMessage.StreamVersionNotice> split(
      List<PeerMessage.StreamVersion> streams) {
    List<PeerMessage.StreamVersionNotice> notices = new ArrayList<>();
    List<PeerMessage.StreamVersion> batch = new ArrayList<>();
    int bytes = EMPTY_NOTICE_BYTES;
    for (PeerMessage.StreamVersion stream : streams) {
      if (!fits(stream.requestId()) || !fits(stream.version().text())) {
        continue;
      }
      int entry = entryBytes(stream);
      if (bytes + entry > PeerMessageCodec.MAX_MESSAGE_BYTES) {
        notices.add(new PeerMessage.StreamVersionNotice(batch));
        batch.clear();
        bytes = EMPTY_NOTICE_BYTES;
      }
      batch.add(stream);
      bytes += entry;
    }
    if (!batch.isEmpty()) {
      notices.add(new PeerMessage.StreamVersionNotice(batch));
    }
    return notices;
  }

  private static int entryBytes(PeerMessage.StreamVersion stream) {
    return StreamVersionNoticeEncoder.StreamsEncoder.sbeBlockLength()
        + 2 * LENGTH_FIELD_BYTES
        + bytes(stream.requestId())
        + bytes(stream.version().text());
  }

  static int encode(
      PeerMessage.StreamVersionNotice notice, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    StreamVersionNoticeEncoder encoder =
        new StreamVersionNoticeEncoder().wrapAndApplyHeader(buffer, 0, header);
    StreamVersionNoticeEncoder.StreamsEncoder streams =
        encoder.streamsCount(notice.streams().size());
    for (PeerMessage.StreamVersion stream : notice.streams()) {
      streams.next().requestId(stream.requestId()).version(stream.version().text());
    }
    return encoder.encodedLength();
  }

  static int encode(
      PeerMessage.StreamVersionQuery query, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    return new StreamVersionQueryEncoder()
        .wrapAndApplyHeader(buffer, 0, header)
        .queryId(query.queryId())
        .requestId(query.requestId())
        .service(query.service())
        .encodedLength();
  }

  static int encode(
      PeerMessage.StreamVersionReply reply, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    return new StreamVersionReplyEncoder()
        .wrapAndApplyHeader(buffer, 0, header)
        .queryId(reply.queryId())
        .evidence((short) reply.evidence().code())
        .version(reply.version().text())
        .encodedLength();
  }

  static PeerMessage decodeNotice(UnsafeBuffer received, MessageHeaderDecoder header) {
    StreamVersionNoticeDecoder decoder = new StreamVersionNoticeDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    List<PeerMessage.StreamVersion> streams = new ArrayList<>();
    for (StreamVersionNoticeDecoder.StreamsDecoder stream : decoder.streams()) {
      String requestId = stream.requestId();
      streams.add(new PeerMessage.StreamVersion(requestId, new SoftwareVersion(stream.version())));
    }
    return new PeerMessage.StreamVersionNotice(streams);
  }

  static PeerMessage decodeQuery(UnsafeBuffer received, MessageHeaderDecoder header) {
    StreamVersionQueryDecoder decoder = new StreamVersionQueryDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    long queryId = decoder.queryId();
    String requestId = decoder.requestId();
    return new PeerMessage.StreamVersionQuery(queryId, requestId, decoder.service());
  }

  /** Decodes a reply; empty if its evidence is of a kind that this build does not know. */
  static Optional<PeerMessage> decodeReply(UnsafeBuffer received, MessageHeaderDecoder header) {
    StreamVersionReplyDecoder decoder = new StreamVersionReplyDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    long queryId = decoder.queryId();
    SoftwareVersion version = new SoftwareVersion(decoder.version());
    return StreamVersionEvidence.ofCode(decoder.evidence())
        .map(evidence -> new PeerMessage.StreamVersionReply(queryId, evidence, version));
  }
}
