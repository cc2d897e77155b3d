package org.baykeel.gateway.history;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.scheduling.StableHash;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.RowAddress;
import org.baykeel.gateway.storage.StoredRow;
import org.baykeel.gateway.storage.Transaction;

/** The rows of stored turns: each turn has one or more rows, one after the other. */
final class TurnRows {
  /** The most bytes of a turn that one row contains. */
  static final int MAX_VALUE_BYTES = 44_000;

  private static final String TABLE = "turn";
  private static final int PARTITIONS = 512;

  private TurnRows() {}

  /** Returns the transaction that inserts a turn. */
  static Transaction insertion(StoredTurn turn) {
    List<byte[]> values = StoredTurnCodec.encode(turn, MAX_VALUE_BYTES);
    List<Transaction.Put> puts = new ArrayList<>(values.size());
    for (int i = 0; i < values.size(); i++) {
      puts.add(new Transaction.Put(address(turn.id(), i), values.get(i)));
    }
    return new Transaction(List.of(absence(turn.id())), puts, List.of());
  }

  /**
   * Returns a transaction that changes nothing and is applied only if a turn does not exist. A read
   * may return an old state, while a condition is always checked against the newest state.
   */
  static Transaction confirmationOfAbsence(String id) {
    return new Transaction(List.of(absence(id)), List.of(), List.of());
  }

  private static Transaction.Expectation absence(String id) {
    return new Transaction.Expectation(address(id, 0), Transaction.ABSENT);
  }

  /** Returns the read of the first rows of a turn. */
  static RangeRead read(String id, int rows) {
    return new RangeRead(TABLE, partition(id), key(id, 0), rows);
  }

  /** Returns whether the rows that were read begin with the first one of a turn. */
  static boolean beginTurn(String id, List<StoredRow> rows) {
    return !rows.isEmpty() && rows.get(0).address().key().equals(key(id, 0));
  }

  private static RowAddress address(String id, int piece) {
    return new RowAddress(TABLE, partition(id), key(id, piece));
  }

  private static String key(String id, int piece) {
    return id + '.' + (char) ('a' + piece);
  }

  private static String partition(String id) {
    return "h" + Math.floorMod(StableHash.of(id), PARTITIONS);
  }
}
