package org.baykeel.core.node;

import org.baykeel.core.log.LogEvent;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.BackendAttempt;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.message.PeerMessage;
import org.baykeel.core.platform.Platform;

/** All that a node's logic does to the outside; the runtime and the simulator each implement it. */
public interface NodeOutput extends Platform {
  /** Sends a message to another node. May be lost, late or repeated. */
  void sendToPeer(MemberId to, NodeAddress address, PeerMessage message);

  /** Sends a message to whoever listens at a peer address. */
  void sendToAddress(String host, int port, PeerMessage message);

  /** Gives a piece of an answer to a caller's connection. */
  void deliver(long requestId, CallerReply reply);

  /** Sends an attempt to a back end, or takes up its stream again. */
  void startAttempt(BackendAttempt attempt);

  /** Tells the back end to stop an attempt. */
  void cancelAttempt(AttemptId id, String backend, String address);

  /** Closes the connection of an attempt without telling the back end to stop. */
  void abandonAttempt(AttemptId id);

  /** Tells an engine to drop what it caches of a program. */
  void releaseCache(String engine, String address, String programId);

  /** Asks an engine for its load. */
  void pollEngine(String engine, String address);

  /** Asks an engine which programs it caches. */
  void pollInventory(String engine, String address);

  /** Reports an event. */
  void event(LogEvent event, Object... arguments);
}
