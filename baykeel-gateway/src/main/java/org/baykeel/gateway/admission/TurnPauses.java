package org.baykeel.gateway.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/** Measures the time between the turns of lines that this process serves. */
final class TurnPauses {
  private static final int MOST_LINES = 1_024;
  private static final long UNDER_WAY = Long.MIN_VALUE;

  private final Map<String, Line> lines =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Line> eldest) {
          return size() > MOST_LINES;
        }
      };

  private record Line(ProgramProfile profile, long endedNanos) {}

  void turnBegan(String line, ProgramProfile profile, long nowNanos) {
    Line last = lines.remove(line);
    if (last != null && last.endedNanos() != UNDER_WAY) {
      profile.observePause((nowNanos - last.endedNanos()) / 1e6);
    }
    lines.put(line, new Line(profile, UNDER_WAY));
  }

  boolean served(String line) {
    return lines.containsKey(line);
  }

  void turnEnded(String line, long nowNanos) {
    lines.computeIfPresent(line, (key, last) -> new Line(last.profile(), nowNanos));
  }

  void toolUsed(String line, String service) {
    Line last = lines.get(line);
    if (last != null) {
      last.profile().toolUsed(service);
    }
  }
}
