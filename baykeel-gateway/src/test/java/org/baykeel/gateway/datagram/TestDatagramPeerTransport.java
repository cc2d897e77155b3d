package org.baykeel.gateway.datagram;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.baykeel.gateway.http.NettyTimeLimits;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TestDatagramPeerTransport {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int TIMEOUT_SECONDS = 20;
  private static final int BACKLOG = 50;
  private static final long LIMIT_MILLIS = 100;
  private static final long BUSY_MILLIS = 500;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private static PeerAddress freeAddress() throws IOException {
    try (DatagramSocket socket =
        new DatagramSocket(new InetSocketAddress(InetAddress.getByName(LOOPBACK), 0))) {
      return new PeerAddress(LOOPBACK, socket.getLocalPort());
    }
  }

  private boolean listens(
      DatagramPeerTransport transport, PeerAddress address, PeerTransport.Receiver receiver) {
    return transport.listen(group, address, receiver).awaitUninterruptibly().isSuccess();
  }

  /** Guards against replies that are not read within their time limit behind other datagrams. */
  @Test
  void whatArrivedWhileTheEventLoopWasBusyIsReadBeforeTimeLimitsPass() throws Exception {
    PeerAddress receiverAddress = freeAddress();
    AtomicInteger received = new AtomicInteger();
    CompletableFuture<Integer> receivedInTime = new CompletableFuture<>();
    assertTrue(
        listens(
            new DatagramPeerTransport(),
            receiverAddress,
            (from, datagram) -> {
              if (received.incrementAndGet() == 1) {
                NettyTimeLimits.start(
                    group.next(), LIMIT_MILLIS, () -> receivedInTime.complete(received.get()));
                beBusy();
              }
            }));
    try (DatagramSocket socket = new DatagramSocket()) {
      InetSocketAddress receiver = new InetSocketAddress(LOOPBACK, receiverAddress.port());
      for (int i = 0; i < BACKLOG; i++) {
        socket.send(new DatagramPacket(new byte[] {1}, 1, receiver));
      }
    }
    assertEquals(BACKLOG, receivedInTime.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  private static void beBusy() {
    try {
      Thread.sleep(BUSY_MILLIS);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  @Test
  void deliversADatagramWithItsSender() throws Exception {
    PeerAddress senderAddress = freeAddress();
    PeerAddress receiverAddress = freeAddress();
    CompletableFuture<String> received = new CompletableFuture<>();
    DatagramPeerTransport sender = new DatagramPeerTransport();
    assertTrue(listens(sender, senderAddress, (from, datagram) -> {}));
    assertTrue(
        listens(
            new DatagramPeerTransport(),
            receiverAddress,
            (from, datagram) ->
                received.complete(from + " " + new String(datagram, StandardCharsets.US_ASCII))));
    sender.send(receiverAddress, "hello".getBytes(StandardCharsets.US_ASCII));
    assertEquals(senderAddress + " hello", received.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** Guards against a peer's address whose resolution blocks the event loop. */
  @Test
  void dropsADatagramToAHostName() throws Exception {
    PeerAddress receiver = freeAddress();
    CompletableFuture<String> first = new CompletableFuture<>();
    DatagramPeerTransport sender = new DatagramPeerTransport();
    assertTrue(listens(sender, freeAddress(), (from, datagram) -> {}));
    assertTrue(
        listens(
            new DatagramPeerTransport(),
            receiver,
            (from, datagram) -> first.complete(new String(datagram, StandardCharsets.US_ASCII))));
    byte[] toName = "name".getBytes(StandardCharsets.US_ASCII);
    sender.send(new PeerAddress("localhost", receiver.port()), toName);
    sender.send(receiver, "literal".getBytes(StandardCharsets.US_ASCII));
    assertEquals("literal", first.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  @Test
  void reportsAPortInUseAndThenDropsDatagrams() throws Exception {
    PeerAddress address = freeAddress();
    assertTrue(listens(new DatagramPeerTransport(), address, (from, datagram) -> {}));
    DatagramPeerTransport second = new DatagramPeerTransport();
    assertFalse(listens(second, address, (from, datagram) -> {}));
    second.send(address, new byte[1]);
  }
}
