package org.baykeel.gateway.budget;

import java.nio.ByteBuffer;

/**
 * What the store keeps of a program's budget.
 *
 * @param grantedTokens tokens granted to all processes together; never falls
 * @param grantId identifies the last grant, so that its maker recognises it after a lost answer
 */
record BudgetRow(long grantedTokens, long grantId) {
  static final BudgetRow NONE = new BudgetRow(0, 0);

  private static final byte FORMAT = 1;
  private static final int LENGTH = 17;

  byte[] encode() {
    return ByteBuffer.allocate(LENGTH).put(FORMAT).putLong(grantedTokens).putLong(grantId).array();
  }

  /** Reads a row; what a later build may have added behind it is passed over. */
  static BudgetRow decode(byte[] value) {
    ByteBuffer buffer = ByteBuffer.wrap(value);
    if (value.length < LENGTH || buffer.get() != FORMAT) {
      throw new IllegalArgumentException("not a budget row: " + value.length + " bytes");
    }
    return new BudgetRow(buffer.getLong(), buffer.getLong());
  }
}
