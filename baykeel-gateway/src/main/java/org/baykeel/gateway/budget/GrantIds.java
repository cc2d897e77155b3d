package org.baykeel.gateway.budget;

/** Generates identifiers of grants by counting from a random number. */
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
