package org.baykeel.bench.simulation;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.baykeel.core.message.Payload;
import org.baykeel.core.platform.TableResult;

/** The platform's stores in virtual time, with their faults. */
final class SimulatedPlatform {
  private static final int ANSWER_MILLIS = 4;
  private static final int SLOW_MILLIS = 1_200;
  private static final int TIMEOUT_MILLIS = 2_000;

  private record Row(long version, Payload value) {}

  private final VirtualTime time;
  private final Map<String, Row> rows = new HashMap<>();
  private int down;
  private int losesAnswers;
  private int slow;

  SimulatedPlatform(VirtualTime time) {
    this.time = requireNonNull(time, "time");
  }

  void down(boolean begins) {
    down += begins ? 1 : -1;
  }

  void losesAnswers(boolean begins) {
    losesAnswers += begins ? 1 : -1;
  }

  void slow(boolean begins) {
    slow += begins ? 1 : -1;
  }

  Payload row(String key) {
    Row row = rows.get(key);
    return row == null ? null : row.value();
  }

  void readRow(String key, Consumer<TableResult> callback) {
    answer(
        () -> {
          Row row = rows.get(key);
          return row == null
              ? new TableResult(TableResult.Status.ABSENT, 0, Payload.EMPTY)
              : new TableResult(TableResult.Status.FOUND, row.version(), row.value());
        },
        TableResult.UNAVAILABLE,
        callback);
  }

  void writeRow(String key, long expectedVersion, Payload value, Consumer<TableResult> callback) {
    answer(() -> write(key, expectedVersion, value), TableResult.UNAVAILABLE, callback);
  }

  private TableResult write(String key, long expectedVersion, Payload value) {
    Row present = rows.get(key);
    long version = present == null ? 0 : present.version();
    if (version != expectedVersion) {
      return new TableResult(TableResult.Status.CONFLICT, version, Payload.EMPTY);
    }
    rows.put(key, new Row(version + 1, value));
    return new TableResult(TableResult.Status.WRITTEN, version + 1, Payload.EMPTY);
  }

  private interface Operation<T> {
    T apply();
  }

  private <T> void answer(Operation<T> operation, T unavailable, Consumer<T> callback) {
    if (down > 0) {
      time.afterMillis(TIMEOUT_MILLIS, () -> callback.accept(unavailable));
      return;
    }
    long delay = slow > 0 ? SLOW_MILLIS : ANSWER_MILLIS;
    time.afterMillis(
        delay,
        () -> {
          T result = operation.apply();
          if (losesAnswers > 0) {
            time.afterMillis(TIMEOUT_MILLIS, () -> callback.accept(unavailable));
          } else {
            callback.accept(result);
          }
        });
  }
}
