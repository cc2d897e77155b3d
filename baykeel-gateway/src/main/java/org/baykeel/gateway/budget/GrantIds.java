package org.baykeel.gateway.budget;

/** Identifiers of grants: a random origin for each process and a counter. */
public final class GrantIds {
  private long next;

  /**
   * Creates a source of identifiers.
   *
   * @param origin a random number, different in each life of each process
   */
  public GrantIds(long origin) {
    this.next = origin;
  }

  long next() {
    return next++;
  }
}
