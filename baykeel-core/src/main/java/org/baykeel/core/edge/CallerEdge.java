package org.baykeel.core.edge;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.PeerMessage.ForwardCancel;
import org.baykeel.core.message.PeerMessage.ForwardReply;
import org.baykeel.core.message.PeerMessage.ForwardRequest;
import org.baykeel.core.routing.ShardRoutes;

/**
 * Where callers are connected: forwards each request to the leader of its program's shard, follows
 * changes of leader, and gives each caller its own whole answer.
 *
 * <p>Invariant: of one program only one call is forwarded at a time, so a change of leader cannot
 * swap two calls. Invariant: what a caller has received is a prefix of what it receives in the end.
 */
public final class CallerEdge {
  private final ShardRoutes routes;
  private final EdgeSettings settings;
  private final EdgeOutput output;
  private final Map<Long, PendingRequest> pending = new LinkedHashMap<>();
  private final Map<String, Deque<PendingRequest>> programs = new HashMap<>();
  private long droppedReplies;

  /** A caller's request until its final answer. */
  private static final class PendingRequest {
    final long requestId;
    final CallerRequest request;
    final boolean keyFromCaller;
    MemberId target = MemberId.NONE;
    boolean forwarded;
    boolean accepted;
    long lastHeardMillis;
    long lastSentMillis;
    byte[] received = new byte[0];
    int receivedLength;

    PendingRequest(long requestId, CallerRequest request, boolean keyFromCaller, long nowMillis) {
      this.requestId = requestId;
      this.request = request;
      this.keyFromCaller = keyFromCaller;
      this.lastHeardMillis = nowMillis;
    }

    void append(byte[] text, int from) {
      int added = text.length - from;
      if (received.length < receivedLength + added) {
        received = Arrays.copyOf(received, Math.max(receivedLength + added, 2 * received.length));
      }
      System.arraycopy(text, from, received, receivedLength, added);
      receivedLength += added;
    }

    Payload receivedText() {
      return Payload.wrap(Arrays.copyOf(received, receivedLength));
    }
  }

  public CallerEdge(ShardRoutes routes, EdgeSettings settings, EdgeOutput output) {
    this.routes = requireNonNull(routes, "routes");
    this.settings = requireNonNull(settings, "settings");
    this.output = requireNonNull(output, "output");
  }

  /** Number of requests under way. */
  public int pendingRequests() {
    return pending.size();
  }

  /** Replies that came from another node than the one asked, or after the end. */
  public long droppedReplies() {
    return droppedReplies;
  }

  /**
   * Takes a caller's request.
   *
   * @param requestId number chosen by the connection, never used twice on this node
   * @param keyFromCaller true if the idempotency key is the caller's own
   */
  public void submit(long requestId, CallerRequest request, boolean keyFromCaller, long nowMillis) {
    if (pending.size() >= settings.maximumPending()) {
      ErrorKind kind = keyFromCaller ? ErrorKind.LEADER_UNREACHABLE : ErrorKind.OVERLOADED;
      output.deliver(requestId, failed(kind));
      return;
    }
    PendingRequest item = new PendingRequest(requestId, request, keyFromCaller, nowMillis);
    pending.put(requestId, item);
    if (!isOrdered(request)) {
      forward(item, nowMillis);
      return;
    }
    Deque<PendingRequest> queue =
        programs.computeIfAbsent(request.programId(), id -> new ArrayDeque<>());
    queue.add(item);
    if (queue.size() == 1) {
      forward(item, nowMillis);
    }
  }

  private static boolean isOrdered(CallerRequest request) {
    return request.isCall() || request.kind() == CallerRequest.Kind.END_PROGRAM;
  }

  private void forward(PendingRequest item, long nowMillis) {
    MemberId leader = routes.leader(item.request.shard());
    item.accepted = item.accepted && leader.equals(item.target);
    item.target = leader;
    item.lastSentMillis = nowMillis;
    if (leader.equals(MemberId.NONE)) {
      return;
    }
    item.forwarded = true;
    CallerRequest request = item.request;
    if (item.receivedLength > 0) {
      request = request.withReceivedText(item.receivedText());
    }
    output.send(leader, new ForwardRequest(item.requestId, request));
  }

  /** A route has changed: what waits for the shard goes to the new leader at once. */
  public void routeChanged(int shard, long nowMillis) {
    for (PendingRequest item : new ArrayList<>(pending.values())) {
      boolean moved = !item.target.equals(routes.leader(shard));
      if (item.request.shard() == shard && isAtHead(item) && moved) {
        forward(item, nowMillis);
      }
    }
  }

  private boolean isAtHead(PendingRequest item) {
    return !isOrdered(item.request) || programs.get(item.request.programId()).peek() == item;
  }

  /** The connection to a member broke: what was on its way may be lost. */
  public void connectionLost(MemberId member, long nowMillis) {
    for (PendingRequest item : new ArrayList<>(pending.values())) {
      if (item.target.equals(member)) {
        item.accepted = false;
        item.lastSentMillis = nowMillis - settings.repeatMillis() / 2;
      }
    }
  }

  /** A piece of an answer has come. */
  public void onReply(MemberId from, ForwardReply message, long nowMillis) {
    PendingRequest item = pending.get(message.edgeRequestId());
    if (item == null || !item.target.equals(from)) {
      droppedReplies++;
      return;
    }
    CallerReply reply = message.reply();
    if (reply instanceof CallerReply.NotLeader) {
      onNotLeader(item, nowMillis);
      return;
    }
    item.lastHeardMillis = nowMillis;
    item.lastSentMillis = nowMillis;
    item.accepted = true;
    if (reply instanceof CallerReply.Chunk chunk) {
      onChunk(item, chunk);
    } else if (reply instanceof CallerReply.Completed completed) {
      onCompleted(item, completed, nowMillis);
    } else if (reply instanceof CallerReply.Failed failed) {
      finish(item, failed, nowMillis);
    }
  }

  private void onNotLeader(PendingRequest item, long nowMillis) {
    MemberId known = routes.leader(item.request.shard());
    if (!known.equals(item.target)) {
      forward(item, nowMillis);
    } else {
      item.lastSentMillis = nowMillis - settings.repeatMillis() + NOT_LEADER_PAUSE_MILLIS;
    }
  }

  private static final int NOT_LEADER_PAUSE_MILLIS = 100;

  private void onChunk(PendingRequest item, CallerReply.Chunk chunk) {
    int overlap = item.receivedLength - chunk.offset();
    if (overlap < 0 || overlap >= chunk.text().length()) {
      return;
    }
    int offset = item.receivedLength;
    item.append(chunk.text().array(), overlap);
    output.deliver(item.requestId, new CallerReply.Chunk(offset, chunk.text().from(overlap)));
  }

  private void onCompleted(PendingRequest item, CallerReply.Completed completed, long nowMillis) {
    byte[] answer = completed.answer().array();
    boolean continues =
        answer.length >= item.receivedLength
            && Arrays.equals(answer, 0, item.receivedLength, item.received, 0, item.receivedLength);
    if (continues) {
      finish(item, completed, nowMillis);
    } else {
      finish(item, failed(ErrorKind.STREAM_INTERRUPTED), nowMillis);
    }
  }

  private void finish(PendingRequest item, CallerReply reply, long nowMillis) {
    output.deliver(item.requestId, reply);
    remove(item, nowMillis);
  }

  private void remove(PendingRequest item, long nowMillis) {
    pending.remove(item.requestId);
    if (!isOrdered(item.request)) {
      return;
    }
    Deque<PendingRequest> queue = programs.get(item.request.programId());
    boolean wasHead = queue.peek() == item;
    queue.remove(item);
    if (queue.isEmpty()) {
      programs.remove(item.request.programId());
    } else if (wasHead) {
      PendingRequest next = queue.peek();
      next.lastHeardMillis = nowMillis;
      forward(next, nowMillis);
    }
  }

  /** The caller has gone. */
  public void cancel(long requestId, long nowMillis) {
    PendingRequest item = pending.get(requestId);
    if (item == null) {
      return;
    }
    if (item.forwarded && !item.target.equals(MemberId.NONE)) {
      output.send(item.target, new ForwardCancel(requestId, item.request.shard()));
    }
    remove(item, nowMillis);
  }

  /** Lets time pass: repeats what was not acknowledged, gives up what nobody acknowledges. */
  public void tick(long nowMillis) {
    for (PendingRequest item : new ArrayList<>(pending.values())) {
      if (!pending.containsKey(item.requestId) || !isAtHead(item)) {
        continue;
      }
      if (nowMillis - item.lastHeardMillis >= settings.giveUpMillis()) {
        giveUp(item, nowMillis);
      } else if (nowMillis - item.lastSentMillis >= repeatMillis(item)) {
        forward(item, nowMillis);
      }
    }
  }

  private int repeatMillis(PendingRequest item) {
    return item.accepted
        ? settings.repeatMillis() * ACCEPTED_REPEAT_FACTOR
        : settings.repeatMillis();
  }

  /** An acknowledged request is repeated less often; the repetition shows that its leader lives. */
  private static final int ACCEPTED_REPEAT_FACTOR = 4;

  /**
   * Answers a request that no leader acknowledges. Later calls of the same program go with it: a
   * leader may yet run the first, and the others must not overtake it.
   */
  private void giveUp(PendingRequest item, long nowMillis) {
    if (isOrdered(item.request)) {
      List<PendingRequest> later = new ArrayList<>(programs.get(item.request.programId()));
      later.remove(item);
      for (PendingRequest next : later) {
        finishUnserved(next, nowMillis);
      }
    }
    finishUnserved(item, nowMillis);
  }

  /** Only a request that no leader can have seen is called "not run". */
  private void finishUnserved(PendingRequest item, long nowMillis) {
    boolean seenByNobody = !item.forwarded && !item.keyFromCaller;
    finish(
        item, failed(seenByNobody ? ErrorKind.NOT_READY : ErrorKind.LEADER_UNREACHABLE), nowMillis);
  }

  private CallerReply.Failed failed(ErrorKind kind) {
    return new CallerReply.Failed(kind, kind.summary(), settings.retryAfterMillis());
  }
}
