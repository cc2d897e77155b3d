package org.baykeel.gateway.budget;

/** Generates identifiers of grants from a random origin of the process and a counter. */
public final class GrantIds {
  private long next;

  /**
   * Creates a generator.
   *
   * @param origin a random number, different in each incarnation of each process
   */
  public GrantIds(long origin) {
    this.next = origin;
  }

  long next() {
    return next++;
  }
}
