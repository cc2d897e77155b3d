package org.baykeel.gateway.ratelimit;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.testing.RecordedBytes;
import org.junit.jupiter.api.Test;

class TestLeaseRow {
  private static final byte[] RECORDED = new RecordedBytes("rows.hex").named("lease");

  @Test
  void rowOfProductionIsDecodedAndEncodedUnchanged() {
    LeaseRow row = new LeaseRow(new PeerAddress("10.1.0.38", 7380), 42, 1_700_000_000_123L);
    assertEquals(row, LeaseRow.decode(RECORDED));
    assertArrayEquals(RECORDED, row.encode());
  }
}
