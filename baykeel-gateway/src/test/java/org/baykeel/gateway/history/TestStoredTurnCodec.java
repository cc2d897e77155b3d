package org.baykeel.gateway.history;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import org.baykeel.gateway.testing.RecordedBytes;
import org.junit.jupiter.api.Test;

class TestStoredTurnCodec {
  private static final int VALUE_BYTES = 16;
  private static final RecordedBytes RECORDED = new RecordedBytes("rows.hex");
  private static final List<byte[]> VALUES =
      List.of(RECORDED.named("turn-0"), RECORDED.named("turn-1"));

  private static void assertIsTheTurn(StoredTurn turn) {
    assertEquals(List.of("t1", "t2", "t3"), turn.chain());
    assertArrayEquals(new byte[] {1, 2, 3}, turn.input());
    assertArrayEquals(new byte[] {4, 5, 6, 7}, turn.output());
  }

  @Test
  void rowsOfProductionAreDecodedAndEncodedUnchanged() {
    assertEquals(VALUES.size(), StoredTurnCodec.pieceCount(VALUES.get(0)));
    StoredTurn turn = StoredTurnCodec.decode("t3", VALUES);
    assertIsTheTurn(turn);
    List<byte[]> written = StoredTurnCodec.encode(turn, VALUE_BYTES);
    assertEquals(VALUES.size(), written.size());
    for (int i = 0; i < VALUES.size(); i++) {
      assertArrayEquals(VALUES.get(i), written.get(i));
    }
  }

  /** Guards against a turn that is cut and passed on as if it were whole. */
  @Test
  void cutTurnIsRejected() {
    byte[] whole = StoredTurnCodec.encodeWhole(StoredTurnCodec.decode("t3", VALUES));
    for (int length = 0; length < whole.length; length++) {
      byte[] cut = Arrays.copyOf(whole, length);
      assertThrows(IllegalArgumentException.class, () -> StoredTurnCodec.decodeWhole("t3", cut));
    }
  }

  @Test
  void bytesAppendedByALaterVersionAreIgnored() {
    byte[] last = VALUES.get(1);
    byte[] longer = Arrays.copyOf(last, last.length + 3);
    assertIsTheTurn(StoredTurnCodec.decode("t3", List.of(VALUES.get(0), longer)));
  }
}
