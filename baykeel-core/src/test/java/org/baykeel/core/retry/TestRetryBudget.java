package org.baykeel.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class TestRetryBudget {
  @Test
  void retriesAreAShareOfFirstAttempts() {
    RetryBudget budget = new RetryBudget(0.2);
    int allowed = 0;
    for (int i = 0; i < 1_000; i++) {
      budget.firstAttempt();
      allowed += budget.tryRetry() ? 1 : 0;
    }
    assertEquals(209, allowed, 1, "a fifth of the attempts, and the initial ten");
  }
}
