package org.baykeel.gateway.call;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.runtime.EventLoop;

/**
 * The requests of one node that wait until an engine has a free slot, grouped by their
 * requirements. When a slot is expected, the most urgent request is sent: the one with the least
 * time until its program's finish target or its caller's deadline. Requests that arrived too late
 * for their finish target, or have none, come after all others, in order of their deadlines.
 */
final class WaitQueue {
  private static final Comparator<Ticket> MOST_URGENT_FIRST =
      Comparator.comparing(Ticket::canMeetTarget)
          .reversed()
          .thenComparingLong(Ticket::dueNanos)
          .thenComparingLong(Ticket::order);

  /**
   * The queue is not notified when engines are added or report free slots, so it checks at least
   * this often.
   */
  private static final long MAX_CHECK_INTERVAL_MILLIS = 100;

  private final EventLoop eventLoop;
  private final Map<Requirement, Group> groups = new HashMap<>();
  private long order;

  /**
   * The requirement of a request; requests with equal requirements wait in one group.
   *
   * @param service the service that runs them
   * @param residency the regions in which they may run
   * @param repeatable whether they may go to engines that have recently lost requests
   * @param version the only software version at which they may run, if there is one
   */
  record Requirement(
      String service, Residency residency, boolean repeatable, Optional<SoftwareVersion> version) {

    /** Creates the requirement of requests that may run at any software version. */
    Requirement(String service, Residency residency, boolean repeatable) {
      this(service, residency, repeatable, Optional.empty());
    }
  }

  /** A request that waits. */
  interface Waiter {
    /**
     * When an engine is expected to have a free slot; {@link Long#MAX_VALUE} if none takes work.
     */
    long nextCapacityNanos();

    /** Ends the wait: a slot is expected now, or no engine takes work any more. */
    void onCapacityExpected();

    /** Whether the process ends before the request could be answered. */
    boolean endsBeforeResponse();

    /** Ends the wait: its time limit has passed, or the process ends too early. */
    void onWaitTooLong();

    /** A request was found to be fatal; the waiter leaves the queue if it is that request. */
    void onQuarantineChanged();
  }

  /** The position of a request in its group. */
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

    /** Ends the wait without notifying the waiter; idempotent. */
    void leave() {
      Group group = groups.get(requirement);
      if (group != null) {
        group.remove(this);
      }
    }
  }

  /** The requests with one requirement, and one timer for all of them. */
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

    /** Sets the timer to the next expected slot or the end of the next wait, whichever is first. */
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
        if (ticket.giveUpNanos - now <= 0 || ticket.waiter.endsBeforeResponse()) {
          remove(ticket);
          ticket.waiter.onWaitTooLong();
        }
      }
    }
  }

  WaitQueue(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Whether requests with a requirement wait; a new one must not be sent before them. */
  boolean hasWaiting(Requirement requirement) {
    return groups.containsKey(requirement);
  }

  /** The number of waiting requests with a requirement. */
  int waiting(Requirement requirement) {
    Group group = groups.get(requirement);
    return group == null ? 0 : group.tickets.size();
  }

  /**
   * Checks again when a slot is expected, since a request with a requirement has left its engine.
   */
  void onSlotFree(Requirement requirement) {
    Group group = groups.get(requirement);
    if (group != null) {
      group.arm();
    }
  }

  /** Notifies all waiting requests that one of them may have been found to be fatal. */
  void onQuarantineChanged() {
    List<Ticket> tickets = new ArrayList<>();
    groups.values().forEach(group -> tickets.addAll(group.tickets));
    tickets.forEach(ticket -> ticket.waiter.onQuarantineChanged());
  }

  /**
   * Adds a request.
   *
   * @param canMeetTarget whether the request arrived early enough to meet its program's finish
   *     target
   * @param dueNanos its program's finish target or the caller's deadline, whichever is first; only
   *     the deadline if the finish target cannot be met
   * @param giveUpNanos when the wait ends without a slot
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
