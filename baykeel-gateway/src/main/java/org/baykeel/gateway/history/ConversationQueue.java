package org.baykeel.gateway.history;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * Decides when a conversation may take memory and be sent. Conversations wait in order of arrival,
 * so that a long one is not passed by others for ever. A part of the memory is reserved for short
 * ones, which do not wait while it has room. What is to be sent is limited as well, since shared
 * turns cost no memory for each call, but the work of each send.
 */
final class ConversationQueue {
  /**
   * So many times the shared memory may be sent at once, and may wait; the time for more is rarely
   * left.
   */
  private static final long MAX_TURNOVERS = 4;

  private final TurnMemory memory;
  private final ConversationBounds bounds;
  private final EventLoop eventLoop;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private long waitingBytes;
  private long reservedBytes;
  private long sendingBytes;
  private boolean admitting;

  /** The decision on one conversation. */
  enum Decision {
    /** Its turns, or the room for them, are held; the holding must be ended. */
    HELD,
    /** Too many others wait, or there was no room within the time limit. */
    NO_ROOM,
    /** It is longer than the limit of a conversation. */
    TOO_LONG
  }

  /** A holding of the turns of one conversation. */
  final class Holding {
    private final List<TurnSize> turns;
    private final long bytes;

    /** The part of the reserve that it uses, in bytes. */
    private final long fromReserve;

    private Holding(List<TurnSize> turns, long fromReserve) {
      this.turns = turns;
      this.bytes = totalBytes(turns);
      this.fromReserve = fromReserve;
      memory.hold(turns);
      reservedBytes += fromReserve;
      sendingBytes += bytes;
    }

    /** Ends the holding; must be called once. */
    void end() {
      memory.release(turns);
      reservedBytes -= fromReserve;
      sendingBytes -= bytes;
      admitWaiting();
    }
  }

  /** Receives the decision on a conversation. */
  @FunctionalInterface
  interface Callback {
    /**
     * Called exactly once.
     *
     * @param holding the holding if the decision is {@link Decision#HELD}, else null
     */
    void onDecision(Decision decision, Holding holding);
  }

  /** The place of a conversation in the queue. */
  interface Ticket {
    /** The place of a conversation that does not wait. */
    Ticket NONE = () -> {};

    /** Leaves the queue, if the conversation still waits; the callback is not called any more. */
    void leave();
  }

  /** A conversation that waits. */
  private final class Waiting implements Ticket {
    private final List<TurnSize> turns;
    private final long bytes;
    private final Callback callback;
    private EventLoop.Timer timeout;

    Waiting(List<TurnSize> turns, long bytes, Callback callback) {
      this.turns = turns;
      this.bytes = bytes;
      this.callback = callback;
    }

    @Override
    public void leave() {
      if (remove(this)) {
        admitWaiting();
      }
    }
  }

  ConversationQueue(TurnMemory memory, ConversationBounds bounds, EventLoop eventLoop) {
    this.memory = memory;
    this.bounds = bounds;
    this.eventLoop = eventLoop;
  }

  /**
   * Holds the turns of a conversation as soon as there is room.
   *
   * @param turns the turns, which are distinct
   * @param giveUpNanos until when it waits
   */
  Ticket hold(List<TurnSize> turns, long giveUpNanos, Callback callback) {
    long bytes = totalBytes(turns);
    if (bytes > bounds.sharedBytes()) {
      callback.onDecision(Decision.TOO_LONG, null);
    } else if (waiting.isEmpty() && fitsShared(turns)) {
      callback.onDecision(Decision.HELD, new Holding(turns, 0));
    } else if (fitsReserve(turns, bytes)) {
      callback.onDecision(Decision.HELD, new Holding(turns, bytes));
    } else if (turnovers() > MAX_TURNOVERS) {
      callback.onDecision(Decision.NO_ROOM, null);
    } else {
      return await(new Waiting(turns, bytes, callback), giveUpNanos);
    }
    return Ticket.NONE;
  }

  private static long totalBytes(List<TurnSize> turns) {
    return turns.stream().mapToLong(TurnSize::bytes).sum();
  }

  /** Bytes in the reserve do not count here, so that they cannot keep a long conversation out. */
  private boolean fitsShared(List<TurnSize> turns) {
    long shared = memory.heldBytes() - reservedBytes;
    return sendingBytes + totalBytes(turns) <= MAX_TURNOVERS * bounds.sharedBytes()
        && shared + memory.missingBytes(turns) <= bounds.sharedBytes()
        && memory.heldBytes() + memory.missingBytes(turns) <= bounds.nodeBytes();
  }

  private boolean fitsReserve(List<TurnSize> turns, long bytes) {
    return bounds.isShort(bytes)
        && reservedBytes + bytes <= bounds.reserveBytes()
        && memory.heldBytes() + memory.missingBytes(turns) <= bounds.nodeBytes();
  }

  private Ticket await(Waiting added, long giveUpNanos) {
    waiting.addLast(added);
    waitingBytes += added.bytes;
    long millis = Math.max(0, (giveUpNanos - eventLoop.nanoTime()) / 1_000_000);
    added.timeout = eventLoop.schedule(millis, () -> giveUp(added));
    return added;
  }

  private void giveUp(Waiting expired) {
    if (remove(expired)) {
      expired.callback.onDecision(Decision.NO_ROOM, null);
      admitWaiting();
    }
  }

  private boolean remove(Waiting leaving) {
    boolean waited = waiting.remove(leaving);
    if (waited) {
      waitingBytes -= leaving.bytes;
      leaving.timeout.cancel();
    }
    return waited;
  }

  /**
   * Holds the turns of conversations that wait, in order, as far as there is room. A holding that
   * ends at once does not admit the next one by itself, so that the stack does not grow with the
   * queue.
   */
  void admitWaiting() {
    if (admitting) {
      return;
    }
    admitting = true;
    try {
      while (!waiting.isEmpty() && fitsShared(waiting.peekFirst().turns)) {
        Waiting first = waiting.peekFirst();
        remove(first);
        first.callback.onDecision(Decision.HELD, new Holding(first.turns, 0));
      }
    } finally {
      admitting = false;
    }
  }

  /** Returns how often all that is held must end until the conversations that wait are served. */
  long turnovers() {
    return 1 + waitingBytes / bounds.sharedBytes();
  }

  /** Returns the number of conversations that wait. */
  int waiting() {
    return waiting.size();
  }
}
