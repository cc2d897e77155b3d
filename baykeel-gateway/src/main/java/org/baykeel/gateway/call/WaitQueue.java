package org.baykeel.gateway.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * The requests of one node that wait until an engine has a place, by what they requirement of an
 * engine. When a place is expected the most urgent of them is woken: the one whose program has
 * least time left until its aim or until its caller leaves. Those that came too late for their aim,
 * or have none, come after all others, by their deadlines.
 */
final class WaitQueue {
  private static final Comparator<Ticket> MOST_URGENT_FIRST =
      Comparator.comparing(Ticket::canMeetTarget)
          .reversed()
          .thenComparingLong(Ticket::dueNanos)
          .thenComparingLong(Ticket::order);

  /** Engines may come, or tell of room, without a word to this queue. */
  private static final long MAX_CHECK_INTERVAL_MILLIS = 100;

  private final EventLoop eventLoop;
  private final Map<Requirement, Group> groups = new HashMap<>();
  private long order;

  /**
   * What engines must offer; requests that requirement the same wait in one line.
   *
   * @param service the service that is to run them
   * @param residency where they may run
   * @param repeatable whether they may go to engines that lost requests lately
   */
  record Requirement(String service, Residency residency, boolean repeatable) {}

  /** A request that waits. */
  interface Waiter {
    /** When an engine is expected to have a place; {@link Long#MAX_VALUE} if none takes work. */
    long nextCapacityNanos();

    /** A place is expected now, or no engine takes work any more; the wait is over. */
    void onCapacityExpected();

    /** The wait is over since the time that it may take is. */
    void onWaitTooLong();
  }

  /** The place of a request in its line. */
  final class Ticket {
    private final Requirement requirement;
    private final boolean canMeetTarget;
    private final long dueNanos;
    private final long giveUpNanos;
    private final Waiter waiter;
    private final long order;

    private Ticket(
        Requirement requirement,
        boolean canMeetTarget,
        long dueNanos,
        long giveUpNanos,
        Waiter waiter) {
      this.requirement = requirement;
      this.canMeetTarget = canMeetTarget;
      this.dueNanos = dueNanos;
      this.giveUpNanos = giveUpNanos;
      this.waiter = waiter;
      this.order = WaitQueue.this.order++;
    }

    private boolean canMeetTarget() {
      return canMeetTarget;
    }

    private long dueNanos() {
      return dueNanos;
    }

    private long order() {
      return order;
    }

    /** Ends the wait; the waiter hears nothing more. May be repeated. */
    void leave() {
      Group group = groups.get(requirement);
      if (group != null) {
        group.remove(this);
      }
    }
  }

  /** Requests that requirement the same, and one timer for all of them. */
  private final class Group {
    private final Requirement requirement;
    private final TreeSet<Ticket> tickets = new TreeSet<>(MOST_URGENT_FIRST);
    private EventLoop.Timer timer;

    private Group(Requirement requirement) {
      this.requirement = requirement;
    }

    private void remove(Ticket ticket) {
      tickets.remove(ticket);
      if (tickets.isEmpty()) {
        cancelTimer();
        groups.remove(requirement, this);
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
      long nextCheckNanos = tickets.first().waiter.nextCapacityNanos();
      if (nextCheckNanos == Long.MAX_VALUE) {
        nextCheckNanos = now;
      }
      for (Ticket ticket : tickets) {
        nextCheckNanos = Math.min(nextCheckNanos, ticket.giveUpNanos);
      }
      long millis = Math.max(0, (nextCheckNanos - now + 999_999) / 1_000_000);
      millis = Math.min(millis, MAX_CHECK_INTERVAL_MILLIS);
      timer = eventLoop.schedule(millis, this::onTimer);
    }

    private void onTimer() {
      timer = null;
      endExpiredWaits();
      for (int remaining = tickets.size(); remaining > 0 && !tickets.isEmpty(); remaining--) {
        Ticket first = tickets.first();
        long nextCheckNanos = first.waiter.nextCapacityNanos();
        if (nextCheckNanos != Long.MAX_VALUE && nextCheckNanos - eventLoop.nanoTime() > 0) {
          break;
        }
        remove(first);
        first.waiter.onCapacityExpected();
      }
      arm();
    }

    private void endExpiredWaits() {
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

  /** Whether requests with a requirement wait, before which a new one must not go. */
  boolean hasWaiting(Requirement requirement) {
    return groups.containsKey(requirement);
  }

  /** How many requests with a requirement wait. */
  int waiting(Requirement requirement) {
    Group group = groups.get(requirement);
    return group == null ? 0 : group.tickets.size();
  }

  /** A request with a requirement has left its engine: a place may be expected earlier now. */
  void onSlotFree(Requirement requirement) {
    Group group = groups.get(requirement);
    if (group != null) {
      group.arm();
    }
  }

  /**
   * Begins a wait.
   *
   * @param canMeetTarget whether the request came early enough to end before its program is to be
   *     over
   * @param dueNanos that time or when its caller no longer waits, whichever is first
   * @param giveUpNanos when the wait is no longer worth its while
   */
  Ticket add(
      Requirement requirement,
      boolean canMeetTarget,
      long dueNanos,
      long giveUpNanos,
      Waiter waiter) {
    Ticket ticket = new Ticket(requirement, canMeetTarget, dueNanos, giveUpNanos, waiter);
    Group group = groups.computeIfAbsent(requirement, Group::new);
    group.tickets.add(ticket);
    group.arm();
    return ticket;
  }
}
