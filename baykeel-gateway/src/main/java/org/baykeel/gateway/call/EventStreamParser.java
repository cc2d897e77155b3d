package org.baykeel.gateway.call;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Splits the bytes of an event stream into complete events; an incomplete event is buffered.
 *
 * <p>Invariant: the work is linear in the number of bytes, however many parts an event arrives in.
 * An engine chooses the sizes of its events and of their parts.
 */
public final class EventStreamParser {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] EMPTY = {};

  /** A larger buffer is not kept once it is empty. */
  private static final int MAX_KEPT_BYTES = 16_384;

  /** Begins with the incomplete event. */
  private byte[] buffer = EMPTY;

  private int length;

  /** The end of the bytes that were searched for the end of the event. */
  private int searched;

  private long bytesSearched;
  private long bytesCopied;

  /** Adds bytes and passes on each event that they complete. */
  public void add(byte[] bytes, Consumer<StreamEvent> events) {
    append(bytes);
    int start = 0;
    int end;
    while ((end = endOfEvent(start)) > 0) {
      bytesCopied += end - start;
      byte[] event = Arrays.copyOfRange(buffer, start, end);
      start = end;
      searched = end;
      events.accept(parse(event));
    }
    keepFrom(start);
  }

  private void append(byte[] bytes) {
    int needed = length + bytes.length;
    if (needed > buffer.length) {
      bytesCopied += length;
      buffer = Arrays.copyOf(buffer, Math.max(needed, 2 * length));
    }
    bytesCopied += bytes.length;
    System.arraycopy(bytes, 0, buffer, length, bytes.length);
    length = needed;
  }

  /**
   * Keeps the incomplete event, which is a part of the bytes added last if an event preceded it.
   */
  private void keepFrom(int start) {
    length -= start;
    searched = length;
    if (length == 0 && buffer.length > MAX_KEPT_BYTES) {
      buffer = EMPTY;
    } else if (start > 0) {
      bytesCopied += length;
      System.arraycopy(buffer, start, buffer, 0, length);
    }
  }

  /** The length of the incomplete event that is buffered, in bytes. */
  public int pendingBytes() {
    return length;
  }

  /** Whether an incomplete event is buffered. */
  public boolean midEvent() {
    return length > 0;
  }

  /** The number of bytes that were searched or copied so far. */
  long bytesProcessed() {
    return bytesSearched + bytesCopied;
  }

  private int endOfEvent(int start) {
    for (int i = Math.max(searched, start + 1); i < length; i++) {
      if (buffer[i] == '\n' && endsBlankLine(start, i)) {
        bytesSearched += i + 1 - searched;
        return i + 1;
      }
    }
    bytesSearched += length - searched;
    return -1;
  }

  private boolean endsBlankLine(int start, int lineFeed) {
    return buffer[lineFeed - 1] == '\n'
        || lineFeed >= start + 3
            && buffer[lineFeed - 1] == '\r'
            && buffer[lineFeed - 2] == '\n'
            && buffer[lineFeed - 3] == '\r';
  }

  private static StreamEvent parse(byte[] event) {
    long id = CallAttributes.ABSENT;
    ByteArrayOutputStream data = null;
    int lineStart = 0;
    for (int i = 0; i < event.length; i++) {
      if (event[i] != '\n') {
        continue;
      }
      int lineEnd = i > lineStart && event[i - 1] == '\r' ? i - 1 : i;
      if (startsWith(event, lineStart, lineEnd, ID_FIELD)) {
        id = number(event, lineStart + ID_FIELD.length, lineEnd);
      } else if (startsWith(event, lineStart, lineEnd, DATA_FIELD)) {
        data = appendLine(data, event, lineStart + DATA_FIELD.length, lineEnd);
      }
      lineStart = i + 1;
    }
    return new StreamEvent(event, id, data == null ? null : data.toByteArray());
  }

  private static ByteArrayOutputStream appendLine(
      ByteArrayOutputStream data, byte[] event, int from, int to) {
    ByteArrayOutputStream joined = data;
    if (joined == null) {
      joined = new ByteArrayOutputStream(to - from);
    } else {
      joined.write('\n');
    }
    int start = from < to && event[from] == ' ' ? from + 1 : from;
    joined.write(event, start, to - start);
    return joined;
  }

  private static boolean startsWith(byte[] bytes, int from, int to, byte[] prefix) {
    return to - from >= prefix.length
        && Arrays.equals(bytes, from, from + prefix.length, prefix, 0, prefix.length);
  }

  private static long number(byte[] bytes, int from, int to) {
    long number = 0;
    boolean any = false;
    for (int i = from; i < to; i++) {
      if (bytes[i] >= '0' && bytes[i] <= '9') {
        number = number * 10 + (bytes[i] - '0');
        any = true;
      } else if (bytes[i] != ' ') {
        return CallAttributes.ABSENT;
      }
    }
    return any ? number : CallAttributes.ABSENT;
  }
}
