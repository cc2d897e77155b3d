package org.baykeel.gateway.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.baykeel.gateway.budget.GrantTransfer;
import org.baykeel.gateway.history.StoredTurn;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerLatency;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.remote.StoreCall;
import org.baykeel.gateway.remote.StoreClient;
import org.baykeel.gateway.remote.StoreReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TestLink {
  private static final String LOOPBACK = "127.0.0.1";
  private static final long TIMEOUT_SECONDS = 10;

  /** Within this time, what was sent on loopback has arrived. */
  private static final long SETTLE_MILLIS = 100;

  private static final int TURNS_REQUESTS = 1_000;

  /** More than the operating system holds of a connection on loopback. */
  private static final long MAX_SOCKET_BYTES = 20L << 20;

  private static final ProgramId PROGRAM = new ProgramId("p");
  private static final GrantTransfer TRANSFER = new GrantTransfer(500, 2_000, 17, 99);
  private static final StoredTurn TURN =
      new StoredTurn("t2", List.of("t1"), new byte[] {1, 2}, new byte[70_000]);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final LinkClient client = new LinkClient(group, PeerLatency.ZERO, (event, fields) -> {});

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Services of a node that calls a given store and has one program and one turn in memory. */
  private static LinkServices services(StoreClient store) {
    return new LinkServices() {
      @Override
      public void callStore(StoreCall call, Consumer<StoreReply> callback) {
        store.call(call, callback);
      }

      @Override
      public Optional<GrantTransfer> releaseGrant(ProgramId program) {
        return program.equals(PROGRAM) ? Optional.of(TRANSFER) : Optional.empty();
      }

      @Override
      public List<StoredTurn> turnsInMemory(String turnId) {
        return turnId.equals(TURN.id()) ? List.of(TURN) : List.of();
      }
    };
  }

  private PeerAddress serve(StoreClient store) {
    ChannelFuture bound =
        new LinkServer(services(store)).listen(group, new InetSocketAddress(LOOPBACK, 0));
    bound.syncUninterruptibly();
    int port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
    return new PeerAddress(LOOPBACK, port);
  }

  private StoreReply call(PeerAddress peer, StoreCall call) throws Exception {
    return callAsync(peer, call).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private CompletableFuture<StoreReply> callAsync(PeerAddress peer, StoreCall call) {
    CompletableFuture<StoreReply> reply = new CompletableFuture<>();
    group.next().execute(() -> client.call(peer, call, reply::complete));
    return reply;
  }

  private static StoreCall change(String body, long timeoutMillis) {
    return new StoreCall(
        StoreCall.Method.POST,
        "/t?a=b",
        body.getBytes(StandardCharsets.UTF_8),
        timeoutMillis,
        false);
  }

  @Test
  void returnsTheReplyOfEachStoreCall() throws Exception {
    PeerAddress peer =
        serve((call, callback) -> callback.accept(new StoreReply.Answered(412, call.body())));
    for (String body : new String[] {"one", "two", "x".repeat(300_000)}) {
      StoreReply reply = call(peer, change(body, 5_000));
      StoreReply.Answered answered = assertInstanceOf(StoreReply.Answered.class, reply);
      assertEquals(412, answered.status());
      assertArrayEquals(body.getBytes(StandardCharsets.UTF_8), answered.body());
    }
  }

  @Test
  void relaysTheOutcomeOfAStoreCallUnchanged() throws Exception {
    PeerAddress notSent =
        serve((call, callback) -> callback.accept(new StoreReply.NotSent("no way to the store")));
    PeerAddress lost = serve((call, callback) -> callback.accept(new StoreReply.Lost("time-out")));
    assertEquals(new StoreReply.NotSent("no way to the store"), call(notSent, change("", 5_000)));
    assertEquals(new StoreReply.Lost("time-out"), call(lost, change("", 5_000)));
  }

  @Test
  void aStoreCallToAnAbsentPeerWasNotSent() throws Exception {
    ChannelFuture closed =
        new LinkServer(services((call, callback) -> {}))
            .listen(group, new InetSocketAddress(LOOPBACK, 0));
    closed.syncUninterruptibly();
    int port = ((InetSocketAddress) closed.channel().localAddress()).getPort();
    closed.channel().close().syncUninterruptibly();
    StoreReply reply = call(new PeerAddress(LOOPBACK, port), change("", 5_000));
    assertInstanceOf(StoreReply.NotSent.class, reply);
  }

  @Test
  void aStoreCallWithoutReplyIsLostAtItsTimeLimit() throws Exception {
    PeerAddress silent = serve((call, callback) -> {});
    assertInstanceOf(StoreReply.Lost.class, call(silent, change("", 100)));
  }

  /** Guards against the late reply to a call that timed out, given to a later call. */
  @Test
  void aLateReplyIsNotTakenForThatToALaterCall() throws Exception {
    List<Consumer<StoreReply>> callbacks = new CopyOnWriteArrayList<>();
    PeerAddress peer = serve((call, callback) -> callbacks.add(callback));
    assertInstanceOf(StoreReply.Lost.class, call(peer, change("one", 100)));
    CompletableFuture<StoreReply> second = callAsync(peer, change("two", 5_000));
    awaitSize(callbacks, 2);
    reply(callbacks.get(0), 501);
    Thread.sleep(SETTLE_MILLIS);
    assertFalse(second.isDone());
    reply(callbacks.get(1), 502);
    assertEquals(502, status(second));
  }

  /** Guards against a second reply to a call, given to a later call. */
  @Test
  void aSecondReplyIsNotTakenForThatToALaterCall() throws Exception {
    List<Consumer<StoreReply>> callbacks = new CopyOnWriteArrayList<>();
    PeerAddress peer = serve((call, callback) -> callbacks.add(callback));
    CompletableFuture<StoreReply> first = callAsync(peer, change("one", 5_000));
    awaitSize(callbacks, 1);
    reply(callbacks.get(0), 501);
    assertEquals(501, status(first));
    CompletableFuture<StoreReply> second = callAsync(peer, change("two", 5_000));
    CompletableFuture<StoreReply> third = callAsync(peer, change("three", 5_000));
    awaitSize(callbacks, 3);
    reply(callbacks.get(0), 501);
    reply(callbacks.get(2), 503);
    assertEquals(503, status(third));
    assertFalse(second.isDone());
    reply(callbacks.get(1), 502);
    assertEquals(502, status(second));
  }

  private void reply(Consumer<StoreReply> callback, int status) {
    group.next().execute(() -> callback.accept(new StoreReply.Answered(status, new byte[0])));
  }

  private static int status(CompletableFuture<StoreReply> reply) throws Exception {
    StoreReply received = reply.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return assertInstanceOf(StoreReply.Answered.class, received).status();
  }

  private static void awaitSize(List<?> list, int size) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (list.size() < size) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError(list.size() + " instead of " + size);
      }
      Thread.sleep(1);
    }
  }

  @Test
  void closesAConnectionWithInvalidBytesAndKeepsServingOthers() throws Exception {
    PeerAddress peer =
        serve((call, callback) -> callback.accept(new StoreReply.Answered(200, new byte[0])));
    try (Socket socket = new Socket(LOOPBACK, peer.port())) {
      OutputStream out = socket.getOutputStream();
      out.write(new byte[] {0, 0, 0, 9, 1, 2, 3, 4, 5, 6, 7, 8, 9});
      out.flush();
      assertEquals(-1, socket.getInputStream().read());
    }
    assertInstanceOf(StoreReply.Answered.class, call(peer, change("", 5_000)));
  }

  @Test
  void transfersTheRemainingGrant() throws Exception {
    PeerAddress peer = serve((call, callback) -> {});
    for (String program : new String[] {"p", "unknown"}) {
      CompletableFuture<Optional<GrantTransfer>> transfer = new CompletableFuture<>();
      group
          .next()
          .execute(() -> client.requestGrant(peer, new ProgramId(program), transfer::complete));
      assertEquals(
          program.equals("p") ? Optional.of(TRANSFER) : Optional.empty(),
          transfer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }

  @Test
  void transfersTurnsUnchanged() throws Exception {
    PeerAddress peer = serve((call, callback) -> {});
    CompletableFuture<List<StoredTurn>> turns = new CompletableFuture<>();
    group.next().execute(() -> client.requestTurns(peer, "t2", turns::complete));
    StoredTurn turn = turns.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).get(0);
    assertEquals(TURN.chain(), turn.chain());
    assertArrayEquals(TURN.input(), turn.input());
    assertArrayEquals(TURN.output(), turn.output());
  }

  /** Guards against turns that fill the memory of this node on their way to a peer. */
  @Test
  void peerThatDoesNotReadIsSentNoFurtherTurns() throws Exception {
    AtomicLong turnBytes = new AtomicLong();
    CompletableFuture<Void> allReceived = new CompletableFuture<>();
    LinkServices services =
        new LinkServices() {
          @Override
          public void callStore(StoreCall call, Consumer<StoreReply> callback) {}

          @Override
          public Optional<GrantTransfer> releaseGrant(ProgramId program) {
            allReceived.complete(null);
            return Optional.empty();
          }

          @Override
          public List<StoredTurn> turnsInMemory(String turnId) {
            turnBytes.addAndGet(TURN.output().length);
            return List.of(TURN);
          }
        };
    ChannelFuture bound =
        new LinkServer(services).listen(group, new InetSocketAddress(LOOPBACK, 0));
    bound.syncUninterruptibly();
    int port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
    try (Socket socket = new Socket(LOOPBACK, port)) {
      OutputStream out = socket.getOutputStream();
      for (int i = 0; i < TURNS_REQUESTS; i++) {
        out.write(frame(new LinkMessage.TurnsRequest(i, TURN.id())));
      }
      out.write(frame(new LinkMessage.GrantRequest(TURNS_REQUESTS, PROGRAM)));
      allReceived.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    assertTrue(turnBytes.get() <= MAX_SOCKET_BYTES, turnBytes + " bytes");
  }

  private static byte[] frame(LinkMessage message) {
    byte[] content = LinkCodec.encode(message);
    return ByteBuffer.allocate(Integer.BYTES + content.length)
        .putInt(content.length)
        .put(content)
        .array();
  }
}
