package org.baykeel.gateway.testing;

import java.util.HashMap;
import java.util.Map;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.runtime.EventLoop;

/** Datagrams between nodes in memory and virtual time; none is lost unless its receiver is gone. */
public final class TestingPeerNetwork {
  private static final long WAY_MILLIS = 2;

  private final EventLoop eventLoop;
  private final Map<PeerAddress, PeerTransport.Receiver> receivers = new HashMap<>();
  private long sentBytes;

  public TestingPeerNetwork(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Delivers what is sent to an address. */
  public void attach(PeerAddress address, PeerTransport.Receiver receiver) {
    receivers.put(address, receiver);
  }

  /** Drops what is sent to an address from now on. */
  public void detach(PeerAddress address) {
    receivers.remove(address);
  }

  /** The transport of the node at an address. */
  public PeerTransport transportOf(PeerAddress sender) {
    return (receiver, datagram) -> {
      sentBytes += datagram.length;
      eventLoop.schedule(WAY_MILLIS, () -> deliver(sender, receiver, datagram));
    };
  }

  private void deliver(PeerAddress sender, PeerAddress receiver, byte[] datagram) {
    PeerTransport.Receiver attached = receivers.get(receiver);
    if (attached != null) {
      attached.receive(sender, datagram);
    }
  }

  /** Bytes of all datagrams sent so far, without the overhead of a link. */
  public long sentBytes() {
    return sentBytes;
  }
}
