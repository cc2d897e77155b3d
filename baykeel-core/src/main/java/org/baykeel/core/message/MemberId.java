package org.baykeel.core.message;

/**
 * One life of a node. A node that restarts has forgotten its log and its votes, so it comes back
 * under a higher incarnation and never counts as the replica it was before.
 *
 * @param nodeId the number of the node, unique in the installation
 * @param incarnation grows with each start of the node's process
 */
public record MemberId(int nodeId, long incarnation) implements Comparable<MemberId> {
  /** Stands for "nobody". */
  public static final MemberId NONE = new MemberId(-1, 0);

  /** True if this id proves that the other one's process is gone. */
  public boolean supersedes(MemberId other) {
    return nodeId == other.nodeId && incarnation > other.incarnation;
  }

  @Override
  public int compareTo(MemberId other) {
    int byNode = Integer.compare(nodeId, other.nodeId);
    return byNode != 0 ? byNode : Long.compare(incarnation, other.incarnation);
  }

  @Override
  public String toString() {
    return nodeId + "@" + incarnation;
  }
}
