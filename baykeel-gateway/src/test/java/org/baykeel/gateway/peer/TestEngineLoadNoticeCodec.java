package org.baykeel.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestEngineLoadNoticeCodec {
  private final PeerMessageCodec codec = new PeerMessageCodec();

  private static PeerMessage.ReportedLoad entry(String id, int number) {
    EngineLoad load = new EngineLoad(number, number + 1, 1L << 40, (1L << 40) + number);
    return new PeerMessage.ReportedLoad(
        new EngineId(id), 17L * number, 1_800_000_000_000L + number, load);
  }

  private static List<PeerMessage.ReportedLoad> entries(int count) {
    return IntStream.range(0, count).mapToObj(i -> entry("i-7f3a91" + i, i)).toList();
  }

  @ParameterizedTest(name = "{0} engines")
  @ValueSource(ints = {0, 1, 2, 22, 23, 40, 600})
  void splitsEnginesIntoNoticesThatFitDatagramsAndDecodeUnchanged(int count) {
    List<PeerMessage.ReportedLoad> read = new ArrayList<>();
    for (PeerMessage.EngineLoadNotice notice : EngineLoadNoticeCodec.split(entries(count))) {
      byte[] datagram = codec.encode(notice);
      assertTrue(datagram.length <= PeerMessageCodec.MAX_MESSAGE_BYTES);
      assertEquals(Optional.of(notice), codec.decode(datagram));
      read.addAll(notice.engines());
    }
    assertEquals(entries(count), read);
  }

  @Test
  void computesTheWireSizeOfANoticeBeforeEncoding() {
    PeerMessage.EngineLoadNotice notice = new PeerMessage.EngineLoadNotice(entries(3));
    long entries =
        notice.engines().stream()
            .mapToLong(entry -> EngineLoadNoticeCodec.entryBytes(entry.engineId()))
            .sum();
    assertEquals(
        ByteBudget.wireBytes(codec.encode(notice).length),
        EngineLoadNoticeCodec.emptyWireBytes() + entries);
  }

  @Test
  void omitsAnEngineWhoseIdentifierIsTooLongForADatagram() {
    List<PeerMessage.ReportedLoad> engines =
        List.of(entry("a", 1), entry("x".repeat(2_000), 2), entry("b", 3));
    assertEquals(
        List.of(new PeerMessage.EngineLoadNotice(List.of(engines.get(0), engines.get(2)))),
        EngineLoadNoticeCodec.split(engines));
  }

  @Test
  void capsCountsAtTheLargestEncodableValue() {
    EngineLoad load = new EngineLoad(70_000, 1 << 30, 1, 2);
    PeerMessage.ReportedLoad entry = new PeerMessage.ReportedLoad(new EngineId("a"), 0, 0, load);
    byte[] datagram = codec.encode(new PeerMessage.EngineLoadNotice(List.of(entry)));
    PeerMessage.EngineLoadNotice read =
        (PeerMessage.EngineLoadNotice) codec.decode(datagram).orElseThrow();
    assertEquals(new EngineLoad(65_534, 65_534, 1, 2), read.engines().get(0).load());
  }

  @Test
  void rejectsATruncatedNotice() {
    byte[] datagram = codec.encode(new PeerMessage.EngineLoadNotice(entries(2)));
    for (int length = 0; length < datagram.length; length++) {
      assertEquals(Optional.empty(), codec.decode(Arrays.copyOf(datagram, length)));
    }
  }

  @Test
  void aWrongEntryCountYieldsNoEngines() {
    byte[] datagram = codec.encode(new PeerMessage.EngineLoadNotice(entries(1)));
    PeerMessage emptyNotice = new PeerMessage.EngineLoadNotice(List.of());
    for (byte count : new byte[] {2, 100, -1}) {
      byte[] changed = datagram.clone();
      Arrays.fill(changed, 10, 14, count);
      assertEquals(emptyNotice, codec.decode(changed).orElse(emptyNotice));
    }
  }
}
