package org.baykeel.gateway.call;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/** Splits the bytes of an event stream into complete events; an incomplete event is buffered. */
public final class EventStreamParser {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

  private byte[] pending = new byte[0];

  /** Adds bytes and passes on each event that they complete. */
  public void add(byte[] bytes, Consumer<StreamEvent> events) {
    byte[] all = pending.length == 0 ? bytes : concatenate(pending, bytes);
    int start = 0;
    int end;
    while ((end = endOfEvent(all, start)) > 0) {
      events.accept(parse(Arrays.copyOfRange(all, start, end)));
      start = end;
    }
    pending = start == 0 ? all : Arrays.copyOfRange(all, start, all.length);
  }

  /** The length of the incomplete event that is buffered, in bytes. */
  public int pendingBytes() {
    return pending.length;
  }

  /** Whether an incomplete event is buffered. */
  public boolean midEvent() {
    return pending.length > 0;
  }

  private static int endOfEvent(byte[] bytes, int start) {
    for (int i = start + 1; i < bytes.length; i++) {
      if (bytes[i] == '\n' && bytes[i - 1] == '\n') {
        return i + 1;
      }
      if (i >= start + 3
          && bytes[i] == '\n'
          && bytes[i - 1] == '\r'
          && bytes[i - 2] == '\n'
          && bytes[i - 3] == '\r') {
        return i + 1;
      }
    }
    return -1;
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

  private static byte[] concatenate(byte[] first, byte[] second) {
    byte[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }
}
