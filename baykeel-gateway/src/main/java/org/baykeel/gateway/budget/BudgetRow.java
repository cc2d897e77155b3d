package org.baykeel.gateway.budget;

import java.nio.ByteBuffer;

/**
 * The stored row of a program's budget.
 *
 * @param grantedTokens the tokens granted to all processes together; never decreases
 * @param grantId identifies the last grant, so that the node that wrote it recognizes it after a
 *     lost response
 */
record BudgetRow(long grantedTokens, long grantId) {
  static final BudgetRow NONE = new BudgetRow(0, 0);

  private static final byte FORMAT = 1;
  private static final int LENGTH = 17;

  byte[] encode() {
    return ByteBuffer.allocate(LENGTH).put(FORMAT).putLong(grantedTokens).putLong(grantId).array();
  }

  /** Decodes a row; bytes that a later version may have appended are ignored. */
  static BudgetRow decode(byte[] value) {
    ByteBuffer buffer = ByteBuffer.wrap(value);
    if (value.length < LENGTH || buffer.get() != FORMAT) {
      throw new IllegalArgumentException("invalid budget row of " + value.length + " bytes");
    }
    return new BudgetRow(buffer.getLong(), buffer.getLong());
  }
}
