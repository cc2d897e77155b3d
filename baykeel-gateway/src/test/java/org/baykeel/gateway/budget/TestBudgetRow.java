package org.baykeel.gateway.budget;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import org.baykeel.gateway.testing.RecordedBytes;
import org.junit.jupiter.api.Test;

class TestBudgetRow {
  private static final byte[] RECORDED = new RecordedBytes("rows.hex").named("budget");
  private static final BudgetRow ROW = new BudgetRow(12_345, -987_654_321L);

  @Test
  void rowOfProductionIsDecodedAndEncodedUnchanged() {
    assertEquals(ROW, BudgetRow.decode(RECORDED));
    assertArrayEquals(RECORDED, ROW.encode());
  }

  @Test
  void bytesAppendedByALaterVersionAreIgnored() {
    assertEquals(ROW, BudgetRow.decode(Arrays.copyOf(RECORDED, RECORDED.length + 9)));
  }

  @Test
  void invalidBytesAreRejected() {
    byte[] cut = Arrays.copyOf(RECORDED, RECORDED.length - 1);
    assertThrows(IllegalArgumentException.class, () -> BudgetRow.decode(cut));
    byte[] otherFormat = RECORDED.clone();
    otherFormat[0] = 2;
    assertThrows(IllegalArgumentException.class, () -> BudgetRow.decode(otherFormat));
  }
}
