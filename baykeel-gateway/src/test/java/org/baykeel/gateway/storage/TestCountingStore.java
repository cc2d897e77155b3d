package org.baykeel.gateway.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.baykeel.gateway.storage.CountingStore.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestCountingStore {
  private static final RowAddress ROW = new RowAddress("budget", "p", "granted");

  @ParameterizedTest(name = "expects {0}, puts {1}, removes {2}: {3}")
  @CsvSource({
    "0, true, false, CREATE",
    "7, true, false, CHANGE",
    "-1, true, false, CHANGE",
    "7, false, true, CHANGE",
    "0, false, false, CHECK",
  })
  void countsTransactionByConditionAndEffect(
      long expectedVersion, boolean puts, boolean removes, Kind kind) {
    Transaction transaction =
        new Transaction(
            expectedVersion < 0
                ? List.of()
                : List.of(new Transaction.Expectation(ROW, expectedVersion)),
            puts ? List.of(new Transaction.Put(ROW, new byte[1])) : List.of(),
            removes ? List.of(ROW) : List.of());
    assertEquals(kind, Kind.of(transaction));
    assertEquals(kind.name().toLowerCase(java.util.Locale.ROOT) + "_budget", kind.label("budget"));
  }
}
