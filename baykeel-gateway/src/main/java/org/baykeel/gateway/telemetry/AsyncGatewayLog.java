package org.baykeel.gateway.telemetry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A log that writes events as lines of {@code key=value} pairs from a thread of its own, which
 * starts with the first line. Lines are dropped and counted while the queue is full; the count is
 * logged when the queue has been drained.
 */
public final class AsyncGatewayLog implements GatewayLog, AutoCloseable {
  private static final int QUEUE_LINES = 2_048;

  /** A longer value is cut. Some values are texts of other writers. */
  private static final int MAX_VALUE_CHARACTERS = 2_000;

  private static final char DELETE = 0x7f;
  private static final long FLUSH_MILLIS = 250;
  private static final long IDLE_MILLIS = 1_000;

  private final String node;
  private final OutputStream out;
  private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicBoolean started = new AtomicBoolean();
  private final Thread thread;
  private volatile boolean closed;

  public AsyncGatewayLog(String node, OutputStream out) {
    this.node = node;
    this.out = out;
    this.thread = new Thread(this::run, "log");
    thread.setDaemon(true);
  }

  @Override
  public void write(GatewayEvent event, Object... fields) {
    startOnce();
    if (!queue.offer(format(event, fields))) {
      dropped.incrementAndGet();
    }
  }

  private void startOnce() {
    if (!started.get() && started.compareAndSet(false, true)) {
      thread.start();
    }
  }

  private String format(GatewayEvent event, Object... fields) {
    StringBuilder line = new StringBuilder(160);
    line.append("t=").append(System.currentTimeMillis());
    line.append(" event=").append(event.number()).append(" name=").append(event.name());
    line.append(" node=").append(node);
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line.append(' ').append(fields[i]).append('=');
      appendValue(line, String.valueOf(fields[i + 1]));
    }
    return line.append('\n').toString();
  }

  private static void appendValue(StringBuilder line, String value) {
    boolean cut = value.length() > MAX_VALUE_CHARACTERS;
    String text = cut ? value.substring(0, MAX_VALUE_CHARACTERS) + "..." : value;
    if (isPlain(text)) {
      line.append(text);
      return;
    }
    line.append('"');
    for (int i = 0; i < text.length(); i++) {
      line.append(quoted(text.charAt(i)));
    }
    line.append('"');
  }

  private static boolean isPlain(String text) {
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character <= ' ' || character == '"' || character == DELETE) {
        return false;
      }
    }
    return !text.isEmpty();
  }

  /** Returns the character that stands for another one between quotes. */
  private static char quoted(char character) {
    if (character == '"') {
      return '\'';
    }
    return character < ' ' || character == DELETE ? ' ' : character;
  }

  private void run() {
    StringBuilder batch = new StringBuilder();
    while (!closed || !queue.isEmpty()) {
      try {
        String first = closed ? null : queue.poll(IDLE_MILLIS, TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.append(first);
          Thread.sleep(FLUSH_MILLIS);
        }
      } catch (InterruptedException e) {
        // Interrupted by close(): the queued lines are written below, then the thread ends.
      }
      drainInto(batch);
      if (!writeOut(batch)) {
        return;
      }
    }
  }

  private boolean writeOut(StringBuilder batch) {
    try {
      if (batch.length() > 0) {
        out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
        batch.setLength(0);
      }
      return true;
    } catch (IOException e) {
      // The log's output is closed; the node continues without a log.
      return false;
    }
  }

  private void drainInto(StringBuilder batch) {
    String line;
    while ((line = queue.poll()) != null) {
      batch.append(line);
    }
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      batch.append(format(GatewayEvent.LINES_DROPPED, "count", lost));
    }
  }

  /**
   * Writes the queued lines and ends the thread; waits for its end, but no longer than the idle
   * time.
   */
  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    try {
      thread.join(IDLE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
