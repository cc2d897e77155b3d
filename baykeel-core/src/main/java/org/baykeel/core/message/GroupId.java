package org.baykeel.core.message;

/**
 * A replica group.
 *
 * @param shard the shard it keeps
 * @param generation grows when a group whose quorum is gone for good is created anew
 */
public record GroupId(int shard, int generation) {
  @Override
  public String toString() {
    return shard + "/" + generation;
  }
}
