package org.baykeel.gateway.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * The requests of one node that wait until an engine has a place, by what they need of an engine.
 * When a place is expected the most urgent of them is woken: the one whose program has least time
 * left until its aim or until its caller leaves. Those that came too late for their aim, or have
 * none, come after all others, by their deadlines.
 */
final class WaitQueue {
  private static final Comparator<Ticket> MOST_URGENT_FIRST =
      Comparator.comparing(Ticket::hasAim)
          .reversed()
          .thenComparingLong(Ticket::dueNanos)
          .thenComparingLong(Ticket::order);

  /** Engines may come, or tell of room, without a word to this queue. */
  private static final long LONGEST_SLEEP_MILLIS = 100;

  private final EventLoop eventLoop;
  private final Map<Need, Line> lines = new HashMap<>();
  private long order;

  /**
   * What engines must offer; requests that need the same wait in one line.
   *
   * @param service the service that is to run them
   * @param residency where they may run
   * @param repeatable whether they may go to engines that lost requests lately
   */
  record Need(String service, Residency residency, boolean repeatable) {}

  /** A request that waits. */
  interface Waiter {
    /** When an engine is expected to have a place; {@link Long#MAX_VALUE} if none takes work. */
    long nextPlaceNanos();

    /** A place is expected now, or no engine takes work any more; the wait is over. */
    void onPlaceExpected();

    /** The wait is over since the time that it may take is. */
    void onWaitTooLong();
  }

  /** The place of a request in its line. */
  final class Ticket {
    private final Need need;
    private final boolean hasAim;
    private final long dueNanos;
    private final long giveUpNanos;
    private final Waiter waiter;
    private final long order;

    private Ticket(Need need, boolean hasAim, long dueNanos, long giveUpNanos, Waiter waiter) {
      this.need = need;
      this.hasAim = hasAim;
      this.dueNanos = dueNanos;
      this.giveUpNanos = giveUpNanos;
      this.waiter = waiter;
      this.order = WaitQueue.this.order++;
    }

    private boolean hasAim() {
      return hasAim;
    }

    private long dueNanos() {
      return dueNanos;
    }

    private long order() {
      return order;
    }

    /** Ends the wait; the waiter hears nothing more. May be repeated. */
    void leave() {
      Line line = lines.get(need);
      if (line != null) {
        line.remove(this);
      }
    }
  }

  /** Requests that need the same, and one timer for all of them. */
  private final class Line {
    private final Need need;
    private final TreeSet<Ticket> tickets = new TreeSet<>(MOST_URGENT_FIRST);
    private EventLoop.Timer timer;

    private Line(Need need) {
      this.need = need;
    }

    private void remove(Ticket ticket) {
      tickets.remove(ticket);
      if (tickets.isEmpty()) {
        cancelTimer();
        lines.remove(need, this);
      }
    }

    private void cancelTimer() {
      if (timer != null) {
        timer.cancel();
        timer = null;
      }
    }

    /** Sets the timer to the next place or to the end of the next wait, whichever is first. */
    private void arm() {
      cancelTimer();
      if (tickets.isEmpty()) {
        return;
      }
      long now = eventLoop.nanoTime();
      long nextNanos = tickets.first().waiter.nextPlaceNanos();
      if (nextNanos == Long.MAX_VALUE) {
        nextNanos = now;
      }
      for (Ticket ticket : tickets) {
        nextNanos = Math.min(nextNanos, ticket.giveUpNanos);
      }
      long millis = Math.max(0, (nextNanos - now + 999_999) / 1_000_000);
      millis = Math.min(millis, LONGEST_SLEEP_MILLIS);
      timer = eventLoop.schedule(millis, this::onTimer);
    }

    private void onTimer() {
      timer = null;
      endLongWaits();
      for (int most = tickets.size(); most > 0 && !tickets.isEmpty(); most--) {
        Ticket first = tickets.first();
        long nextNanos = first.waiter.nextPlaceNanos();
        if (nextNanos != Long.MAX_VALUE && nextNanos - eventLoop.nanoTime() > 0) {
          break;
        }
        remove(first);
        first.waiter.onPlaceExpected();
      }
      arm();
    }

    private void endLongWaits() {
      long now = eventLoop.nanoTime();
      for (Ticket ticket : new ArrayList<>(tickets)) {
        if (ticket.giveUpNanos - now <= 0) {
          remove(ticket);
          ticket.waiter.onWaitTooLong();
        }
      }
    }
  }

  WaitQueue(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Whether requests with a need wait, before which a new one must not go. */
  boolean anyWaits(Need need) {
    return lines.containsKey(need);
  }

  /** How many requests with a need wait. */
  int waiting(Need need) {
    Line line = lines.get(need);
    return line == null ? 0 : line.tickets.size();
  }

  /** A request with a need has left its engine: a place may be expected earlier now. */
  void onPlaceFree(Need need) {
    Line line = lines.get(need);
    if (line != null) {
      line.arm();
    }
  }

  /**
   * Begins a wait.
   *
   * @param hasAim whether the request came early enough to end before its program is to be over
   * @param dueNanos that time or when its caller no longer waits, whichever is first
   * @param giveUpNanos when the wait is no longer worth its while
   */
  Ticket join(Need need, boolean hasAim, long dueNanos, long giveUpNanos, Waiter waiter) {
    Ticket ticket = new Ticket(need, hasAim, dueNanos, giveUpNanos, waiter);
    Line line = lines.computeIfAbsent(need, Line::new);
    line.tickets.add(ticket);
    line.arm();
    return ticket;
  }
}
