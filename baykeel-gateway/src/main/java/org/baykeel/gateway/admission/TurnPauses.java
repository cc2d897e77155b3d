package org.baykeel.gateway.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/** Measures the pauses between the turns of the conversations that this node serves. */
final class TurnPauses {
  private static final int MAX_CONVERSATIONS = 1_024;
  private static final long IN_PROGRESS = Long.MIN_VALUE;

  private final Map<String, LastTurn> lastTurns =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, LastTurn> eldest) {
          return size() > MAX_CONVERSATIONS;
        }
      };

  private record LastTurn(ProgramProfile profile, long endedNanos) {}

  void turnStarted(String conversation, ProgramProfile profile, long nowNanos) {
    LastTurn last = lastTurns.remove(conversation);
    if (last != null && last.endedNanos() != IN_PROGRESS) {
      profile.observePause((nowNanos - last.endedNanos()) / 1e6);
    }
    lastTurns.put(conversation, new LastTurn(profile, IN_PROGRESS));
  }

  boolean servedRecently(String conversation) {
    return lastTurns.containsKey(conversation);
  }

  void turnEnded(String conversation, long nowNanos) {
    lastTurns.computeIfPresent(conversation, (key, last) -> new LastTurn(last.profile(), nowNanos));
  }

  void toolCalled(String conversation, String service) {
    LastTurn last = lastTurns.get(conversation);
    if (last != null) {
      last.profile().toolCalled(service);
    }
  }
}
