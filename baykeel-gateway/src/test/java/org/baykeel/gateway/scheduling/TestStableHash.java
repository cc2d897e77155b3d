package org.baykeel.gateway.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestStableHash {
  /**
   * Nodes of different releases agree on home engines and on the registrars of programs only if the
   * hash never changes.
   */
  @ParameterizedTest(name = "{0}, {1}: {2}")
  @CsvSource({
    "'', '', 1187615750",
    "i-7f3a91c2, 3fa81c, -1508168695",
    "10.0.0.1:7380, tenant/program, -1963250453"
  })
  void theHashOfTwoTextsEqualsThatOfBothJoinedByALineFeed(String first, String second, int hash) {
    assertEquals(StableHash.of(first + '\n' + second), StableHash.of(first, second));
    assertEquals(hash, StableHash.of(first, second));
  }
}
