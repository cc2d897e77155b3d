package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.Payload;

/**
 * A request that a shard leader works on: who waits for it and what has been generated so far. It
 * exists only on the leader; a successor builds it anew from the log and from the edges' requests.
 */
final class LiveCall {
  /** How far the request has come. */
  enum Stage {
    /** Behind other requests of its program. */
    QUEUED,
    /** At the head of its program, waiting for an engine. */
    WAITING_FOR_ENGINE,
    /** Its dispatch record is proposed. */
    PROPOSED,
    /** An attempt runs at a back end. */
    RUNNING,
    /** The record that settles its attempt is proposed. */
    SETTLING
  }

  /** A caller that waits. */
  private static final class Waiter {
    final byte[] received;
    boolean inStep;

    Waiter(byte[] received) {
      this.received = received;
    }
  }

  final CallerRequest request;
  final Payload digest;
  final long arrivedMillis;
  Stage stage = Stage.QUEUED;
  AttemptId attempt;
  String attemptBackend = "";
  String attemptAddress = "";
  boolean resumed;
  long lastProgressMillis;
  int timeoutMillis;
  long abandonedSinceMillis = -1;
  EngineTicket ticket;

  private final Map<CallerOrigin, Waiter> waiters = new LinkedHashMap<>();
  private byte[] partial = new byte[0];
  private int partialLength;

  LiveCall(CallerRequest request, long nowMillis) {
    this.request = requireNonNull(request, "request");
    this.digest = request.digest();
    this.arrivedMillis = nowMillis;
  }

  /** True between the proposal of its dispatch and the settlement of its attempt. */
  boolean isDispatched() {
    return stage == Stage.PROPOSED || stage == Stage.RUNNING || stage == Stage.SETTLING;
  }

  Iterable<CallerOrigin> origins() {
    return waiters.keySet();
  }

  boolean hasWaiters() {
    return !waiters.isEmpty();
  }

  /** Adds a caller, and brings it up to what has been generated. */
  void addWaiter(CallerOrigin origin, CallerRequest asked, CoordinatorOutput output) {
    abandonedSinceMillis = -1;
    Waiter waiter = new Waiter(asked.receivedText().array());
    waiters.put(origin, waiter);
    bringUp(origin, waiter, 0, output);
  }

  void removeWaiter(CallerOrigin origin) {
    waiters.remove(origin);
  }

  /** What has been generated so far. */
  Payload partial() {
    return Payload.wrap(Arrays.copyOf(partial, partialLength));
  }

  /** The text that the next attempt has to continue: the longest that anyone has received. */
  Payload continuation() {
    byte[] longest = partial().array();
    for (Waiter waiter : waiters.values()) {
      if (waiter.received.length > longest.length && startsWith(waiter.received, longest)) {
        longest = waiter.received;
      }
    }
    return Payload.wrap(longest);
  }

  /** Begins an attempt that starts after the given text. */
  void restartFrom(Payload text) {
    partial = text.array().clone();
    partialLength = partial.length;
  }

  /**
   * Takes in generated text.
   *
   * @param offset position of the text in the whole answer
   * @return false if the text repeats what is there or would leave a gap
   */
  boolean append(int offset, Payload text, CoordinatorOutput output) {
    int overlap = partialLength - offset;
    if (overlap < 0 || overlap >= text.length()) {
      return false;
    }
    int before = partialLength;
    int added = text.length() - overlap;
    if (partial.length < before + added) {
      partial = Arrays.copyOf(partial, Math.max(before + added, 2 * partial.length));
    }
    System.arraycopy(text.array(), overlap, partial, before, added);
    partialLength = before + added;
    for (var entry : waiters.entrySet()) {
      bringUp(entry.getKey(), entry.getValue(), before, output);
    }
    return true;
  }

  /** Sends a waiter what it lacks, but never anything that contradicts what it has received. */
  private void bringUp(CallerOrigin origin, Waiter waiter, int from, CoordinatorOutput output) {
    if (!waiter.inStep) {
      boolean ahead = partialLength > waiter.received.length;
      if (!ahead || !startsWith(partial().array(), waiter.received)) {
        return;
      }
      waiter.inStep = true;
      sendFrom(origin, waiter.received.length, output);
      return;
    }
    sendFrom(origin, from, output);
  }

  private void sendFrom(CallerOrigin origin, int offset, CoordinatorOutput output) {
    if (offset < partialLength) {
      byte[] text = Arrays.copyOfRange(partial, offset, partialLength);
      output.reply(origin, new CallerReply.Chunk(offset, Payload.wrap(text)));
    }
  }

  private static boolean startsWith(byte[] whole, byte[] prefix) {
    return whole.length >= prefix.length
        && Arrays.equals(whole, 0, prefix.length, prefix, 0, prefix.length);
  }
}
