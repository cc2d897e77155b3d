package org.baykeel.gateway.peer;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.agrona.concurrent.UnsafeBuffer;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.protocol.generated.EngineLoadNoticeDecoder;
import org.baykeel.protocol.generated.EngineLoadNoticeEncoder;
import org.baykeel.protocol.generated.MessageHeaderDecoder;
import org.baykeel.protocol.generated.MessageHeaderEncoder;

/** Encodes notices of engine load as SBE and splits them so that each fits into one datagram. */
public final class EngineLoadNoticeCodec {
  private static final int ID_LENGTH_FIELD_BYTES = 2;
  private static final int EMPTY_NOTICE_BYTES =
      MessageHeaderEncoder.ENCODED_LENGTH
          + EngineLoadNoticeEncoder.BLOCK_LENGTH
          + EngineLoadNoticeEncoder.EnginesEncoder.sbeHeaderSize();

  /** The highest count that the encoded field can hold; the null value follows it. */
  private static final int MAX_COUNT =
      EngineLoadNoticeEncoder.EnginesEncoder.waitingNullValue() - 1;

  private EngineLoadNoticeCodec() {}

  /**
   * Splits the loads into notices that each fit into one datagram. An engine whose identifier is
   * too long for a datagram is omitted.
   */
  public static List<PeerMessage.EngineLoadNotice> split(List<PeerMessage.ReportedLoad> engines) {
    List<PeerMessage.EngineLoadNotice> notices = new ArrayList<>();
    List<PeerMessage.ReportedLoad> batch = new ArrayList<>();
    int bytes = EMPTY_NOTICE_BYTES;
    for (PeerMessage.ReportedLoad engine : engines) {
      int entry = entryBytes(engine.engineId());
      if (EMPTY_NOTICE_BYTES + entry > PeerMessageCodec.MAX_MESSAGE_BYTES) {
        continue;
      }
      if (bytes + entry > PeerMessageCodec.MAX_MESSAGE_BYTES) {
        notices.add(new PeerMessage.EngineLoadNotice(batch));
        batch.clear();
        bytes = EMPTY_NOTICE_BYTES;
      }
      batch.add(engine);
      bytes += entry;
    }
    if (!batch.isEmpty()) {
      notices.add(new PeerMessage.EngineLoadNotice(batch));
    }
    return notices;
  }

  /** Returns the bytes on the wire of a notice without entries. */
  public static long emptyWireBytes() {
    return ByteBudget.wireBytes(EMPTY_NOTICE_BYTES);
  }

  /** Returns the bytes that the entry of an engine adds to a notice. */
  public static int entryBytes(EngineId engineId) {
    return EngineLoadNoticeEncoder.EnginesEncoder.sbeBlockLength()
        + ID_LENGTH_FIELD_BYTES
        + engineId.value().getBytes(StandardCharsets.UTF_8).length;
  }

  static int encode(
      PeerMessage.EngineLoadNotice notice, UnsafeBuffer buffer, MessageHeaderEncoder header) {
    EngineLoadNoticeEncoder encoder =
        new EngineLoadNoticeEncoder().wrapAndApplyHeader(buffer, 0, header);
    EngineLoadNoticeEncoder.EnginesEncoder engines = encoder.enginesCount(notice.engines().size());
    for (PeerMessage.ReportedLoad engine : notice.engines()) {
      engines
          .next()
          .ageMillis(engine.ageMillis())
          .bornMillis(engine.startMillis())
          .waiting(Math.min(MAX_COUNT, engine.load().waiting()))
          .running(Math.min(MAX_COUNT, engine.load().running()))
          .usedTokens(engine.load().usedTokens())
          .totalTokens(engine.load().totalTokens())
          .engineId(engine.engineId().value());
    }
    return encoder.encodedLength();
  }

  static PeerMessage decode(UnsafeBuffer received, MessageHeaderDecoder header) {
    EngineLoadNoticeDecoder decoder = new EngineLoadNoticeDecoder();
    decoder.wrapAndApplyHeader(received, 0, header);
    List<PeerMessage.ReportedLoad> engines = new ArrayList<>();
    for (EngineLoadNoticeDecoder.EnginesDecoder engine : decoder.engines()) {
      long ageMillis = engine.ageMillis();
      long startMillis = engine.bornMillis();
      EngineLoad load =
          new EngineLoad(
              engine.waiting(), engine.running(), engine.usedTokens(), engine.totalTokens());
      engines.add(
          new PeerMessage.ReportedLoad(
              new EngineId(engine.engineId()), ageMillis, startMillis, load));
    }
    return new PeerMessage.EngineLoadNotice(engines);
  }
}
