package org.baykeel.gateway.testing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Delivers datagrams between nodes in memory and virtual time; none is lost unless its receiver is
 * gone or the test requests it.
 */
public final class TestingPeerNetwork {
  private static final long ONE_WAY_MILLIS = 2;
  private static final long DUPLICATE_MILLIS = 70;

  private final EventLoop eventLoop;
  private final Map<PeerAddress, PeerTransport.Receiver> receivers = new HashMap<>();
  private final Set<String> cutPaths = new HashSet<>();
  private final Map<PeerAddress, List<Runnable>> unreadByPaused = new HashMap<>();
  private double lossShare;
  private Predicate<byte[]> lost = datagram -> false;
  private Random random = new Random(0);
  private long sentBytes;
  private long sentDatagrams;

  public TestingPeerNetwork(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Attaches the receiver of an address. */
  public void attach(PeerAddress address, PeerTransport.Receiver receiver) {
    receivers.put(address, receiver);
  }

  /** Cuts or restores the path from one address to another; the opposite direction is separate. */
  public void cut(PeerAddress from, PeerAddress to, boolean cut) {
    if (cut) {
      cutPaths.add(from + " " + to);
    } else {
      cutPaths.remove(from + " " + to);
    }
  }

  /** Loses a share of all datagrams and duplicates the same share of the others. */
  public void lose(double share, Random newRandom) {
    lossShare = share;
    random = newRandom;
  }

  /** Loses certain datagrams from now on. */
  public void lose(Predicate<byte[]> newLost) {
    lost = newLost;
  }

  /** Drops all datagrams to an address from now on. */
  public void detach(PeerAddress address) {
    receivers.remove(address);
  }

  /** Keeps the datagrams to an address until it resumes, as when its event loop lags. */
  public void pause(PeerAddress address) {
    unreadByPaused.put(address, new ArrayList<>());
  }

  /** Delivers the datagrams that arrived at an address since it paused. */
  public void resume(PeerAddress address) {
    unreadByPaused.remove(address).forEach(Runnable::run);
  }

  /** Returns the transport of the node at an address. */
  public PeerTransport transportOf(PeerAddress sender) {
    return (receiver, datagram) -> {
      sentBytes += datagram.length;
      sentDatagrams++;
      boolean cut = cutPaths.contains(sender + " " + receiver) || lost.test(datagram);
      if (cut || random.nextDouble() < lossShare) {
        return;
      }
      eventLoop.schedule(ONE_WAY_MILLIS, () -> deliver(sender, receiver, datagram));
      if (random.nextDouble() < lossShare) {
        eventLoop.schedule(DUPLICATE_MILLIS, () -> deliver(sender, receiver, datagram));
      }
    };
  }

  private void deliver(PeerAddress sender, PeerAddress receiver, byte[] datagram) {
    List<Runnable> unread = unreadByPaused.get(receiver);
    if (unread != null) {
      unread.add(() -> deliver(sender, receiver, datagram));
      return;
    }
    PeerTransport.Receiver attached = receivers.get(receiver);
    if (attached != null) {
      attached.receive(sender, datagram);
    }
  }

  /** Returns the number of all datagrams sent so far. */
  public long sentDatagrams() {
    return sentDatagrams;
  }

  /** Returns the bytes of all datagrams sent so far, without the overhead of a link. */
  public long sentBytes() {
    return sentBytes;
  }
}
