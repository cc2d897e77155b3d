package org.baykeel.gateway.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.baykeel.gateway.peer.PeerAddress;
import org.baykeel.gateway.peer.PeerTransport;
import org.baykeel.gateway.runtime.EventLoop;
import org.baykeel.gateway.storage.DurableStore;
import org.baykeel.gateway.storage.RangeRead;
import org.baykeel.gateway.storage.ReadOutcome;
import org.baykeel.gateway.storage.Transaction;
import org.baykeel.gateway.storage.TransactionOutcome;

/**
 * The process of a node in virtual time, which may be killed or frozen: nothing of a killed one
 * happens any more, and what comes to a frozen one waits until it is resumed.
 */
public final class TestingProcess implements EventLoop {
  private final EventLoop eventLoop;
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean killed;
  private boolean frozen;

  public TestingProcess(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Ends the process without notice. */
  public void kill() {
    killed = true;
    waiting.clear();
  }

  /** Stops the process until {@link #resume()}. */
  public void freeze() {
    frozen = true;
  }

  /** Lets a frozen process go on. */
  public void resume() {
    frozen = false;
    List<Runnable> due = List.copyOf(waiting);
    waiting.clear();
    due.forEach(this::run);
  }

  public boolean running() {
    return !killed && !frozen;
  }

  /** Runs a task in the process, now or once it is resumed. */
  public void run(Runnable task) {
    if (killed) {
      return;
    }
    if (frozen) {
      waiting.add(task);
    } else {
      task.run();
    }
  }

  @Override
  public long nanoTime() {
    return eventLoop.nanoTime();
  }

  @Override
  public Timer schedule(long delayMillis, Runnable task) {
    boolean[] cancelled = new boolean[1];
    Runnable unlessCancelled =
        () -> {
          if (!cancelled[0]) {
            task.run();
          }
        };
    Timer timer = eventLoop.schedule(delayMillis, () -> run(unlessCancelled));
    return () -> {
      cancelled[0] = true;
      timer.cancel();
    };
  }

  /** Returns a store whose answers reach this process. */
  public DurableStore storeOf(DurableStore store) {
    return new DurableStore() {
      @Override
      public void transact(Transaction transaction, Consumer<TransactionOutcome> answer) {
        store.transact(transaction, outcome -> run(() -> answer.accept(outcome)));
      }

      @Override
      public void read(RangeRead read, Consumer<ReadOutcome> answer) {
        store.read(read, outcome -> run(() -> answer.accept(outcome)));
      }

      @Override
      public void watch(
          String table, long afterVersion, int waitMillis, Consumer<ReadOutcome> answer) {
        store.watch(table, afterVersion, waitMillis, outcome -> run(() -> answer.accept(outcome)));
      }
    };
  }

  /** Returns a receiver of the datagrams that reach this process. */
  public PeerTransport.Receiver receiverOf(PeerTransport.Receiver receiver) {
    return (PeerAddress sender, byte[] datagram) -> run(() -> receiver.receive(sender, datagram));
  }
}
