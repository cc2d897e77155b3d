package org.baykeel.bench.hollow;

import org.baykeel.core.message.PeerMessage;

/** The kinds of control traffic between nodes. */
enum TrafficKind {
  MEMBERSHIP,
  REPLICATION,
  ROUTES,
  ENGINE_REPORTS,
  CONFIGURATION,
  OTHER;

  static TrafficKind of(PeerMessage message) {
    if (message instanceof PeerMessage.Probe) {
      return MEMBERSHIP;
    }
    if (message instanceof PeerMessage.GroupMessage) {
      return REPLICATION;
    }
    if (message instanceof PeerMessage.RouteUpdate) {
      return ROUTES;
    }
    if (message instanceof PeerMessage.EngineReports) {
      return ENGINE_REPORTS;
    }
    return message instanceof PeerMessage.ConfigurationDocument ? CONFIGURATION : OTHER;
  }
}
