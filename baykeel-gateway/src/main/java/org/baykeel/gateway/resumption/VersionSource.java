package org.baykeel.gateway.resumption;

/** From what a node concluded at which software version a stream began, for the log. */
enum VersionSource {
  /** A record of this node. */
  OWN_RECORD,
  /** The record of a peer. */
  PEER_RECORD,
  /** The row of a node that has restarted since. */
  STORED_RECORD,
  /** The engines that this node has seen, and the store's newest state. */
  ONLY_VERSION,
  /** The engines that peers have seen. */
  ONLY_VERSION_OF_PEERS,
  /** No record was found, and the service has had more than one version. */
  NONE
}
