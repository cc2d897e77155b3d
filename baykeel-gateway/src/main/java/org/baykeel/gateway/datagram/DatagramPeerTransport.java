package org.baykeel.gateway.datagram;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.baykeel.gateway.network.IpLiterals;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerTransport;

/** Sends and receives datagrams between nodes over UDP. */
public final class DatagramPeerTransport implements PeerTransport {
  /** Limits the addresses that are kept in converted form, since senders are not trusted. */
  private static final int MAX_KNOWN_ADDRESSES = 1_024;

  /** No datagram of a node is longer. */
  private static final int MAX_BYTES = 2_048;

  /**
   * The most datagrams that are read before other channels are read and timers run. A reply is not
   * read within its time limit behind more of them.
   */
  private static final int MAX_READS = 64;

  private final DatagramFilter filter;
  private final Map<PeerAddress, InetSocketAddress> socketByPeer = new HashMap<>();
  private volatile Channel channel;

  /** Creates a transport that passes all datagrams. */
  public DatagramPeerTransport() {
    this(DatagramFilter.ALL);
  }

  /** Creates a transport that loses the datagrams that a filter does not pass. */
  public DatagramPeerTransport(DatagramFilter filter) {
    this.filter = filter;
  }

  /**
   * Starts to receive; may be called on the event loop. Until the address is bound, {@link #send}
   * drops datagrams.
   *
   * @param receiver receives the datagrams, on the event loop
   * @return completes when the address is bound, or fails if it cannot be
   */
  public ChannelFuture listen(EventLoopGroup group, PeerAddress address, Receiver receiver) {
    ChannelFuture bound =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new FixedRecvByteBufAllocator(MAX_BYTES).maxMessagesPerRead(MAX_READS))
            .handler(new Handler(filter, receiver))
            .bind(new InetSocketAddress(address.host(), address.port()));
    bound.addListener(future -> adopt(bound));
    return bound;
  }

  private void adopt(ChannelFuture bound) {
    if (bound.isSuccess()) {
      channel = bound.channel();
    }
  }

  /** Drops a datagram to a host name, since resolving the name would block the event loop. */
  @Override
  public void send(PeerAddress receiver, byte[] datagram) {
    InetSocketAddress socket = socketOf(receiver);
    if (channel != null && socket != null && filter.passesTo(receiver)) {
      channel.writeAndFlush(
          new DatagramPacket(Unpooled.wrappedBuffer(datagram), socket), channel.voidPromise());
    }
  }

  /** Returns the address of a peer as a socket takes it; null if its host is a name. */
  private InetSocketAddress socketOf(PeerAddress peer) {
    InetSocketAddress known = socketByPeer.get(peer);
    if (known != null) {
      return known;
    }
    Optional<InetAddress> host = IpLiterals.parse(peer.host());
    if (host.isEmpty()) {
      return null;
    }
    if (socketByPeer.size() >= MAX_KNOWN_ADDRESSES) {
      socketByPeer.clear();
    }
    InetSocketAddress socket = new InetSocketAddress(host.get(), peer.port());
    socketByPeer.put(peer, socket);
    return socket;
  }

  /** Passes datagrams to the receiver. */
  private static final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final DatagramFilter filter;
    private final Receiver receiver;
    private final Map<InetSocketAddress, PeerAddress> peerBySocket = new HashMap<>();

    Handler(DatagramFilter filter, Receiver receiver) {
      this.filter = filter;
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      PeerAddress sender = peerOf(packet.sender());
      if (!filter.passesFrom(sender)) {
        return;
      }
      byte[] datagram = new byte[packet.content().readableBytes()];
      packet.content().readBytes(datagram);
      receiver.receive(sender, datagram);
    }

    private PeerAddress peerOf(InetSocketAddress socket) {
      PeerAddress known = peerBySocket.get(socket);
      if (known != null) {
        return known;
      }
      if (peerBySocket.size() >= MAX_KNOWN_ADDRESSES) {
        peerBySocket.clear();
      }
      PeerAddress peer = new PeerAddress(socket.getAddress().getHostAddress(), socket.getPort());
      peerBySocket.put(socket, peer);
      return peer;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A datagram that cannot be sent or read is lost, which callers of send have to expect
      // anyway. Any other error is one of the receiver.
      if (!(cause instanceof IOException)) {
        InternalLoggerFactory.getInstance(DatagramPeerTransport.class)
            .warn("message of a node failed", cause);
      }
    }
  }
}
