package org.baykeel.gateway.call;

import java.util.List;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.tenancy.ApiKey;

/**
 * What a request says about itself beyond its path and body. Absent texts are null, absent numbers
 * {@link #ABSENT}.
 *
 * @param requestId identifies this request and no other
 * @param deadlineMillis how long the caller waits
 * @param finishMillis the time left until the whole program should be over
 * @param programId the program it belongs to
 * @param sessionId its line of turns within the program
 * @param tokenBudget tokens that all turns of the program may generate
 * @param maxOutputTokens the most that this turn generates
 * @param prompt the parts of its prompt, in order
 * @param previousTurn the turn it continues
 * @param lastEventId the last event of a broken stream that the caller has
 * @param affinityKey the object it concerns
 * @param apiKey the key that names its tenant
 */
public record CallAttributes(
    String requestId,
    long deadlineMillis,
    long finishMillis,
    String programId,
    String sessionId,
    long tokenBudget,
    int maxOutputTokens,
    List<PromptPart> prompt,
    String previousTurn,
    long lastEventId,
    String affinityKey,
    ApiKey apiKey) {

  /** Stands for a number that the request does not carry. */
  public static final int ABSENT = -1;

  public CallAttributes {
    prompt = List.copyOf(prompt);
  }

  /** Whether the request belongs to the line of turns with which its program began. */
  public boolean firstConversation() {
    return programId != null && programId.equals(sessionId);
  }

  /**
   * The time that the request has: what its caller waits, but no longer than its route holds it.
   *
   * @param timeoutMillis the longest time that the route holds a request
   */
  public long timeoutMillis(long timeoutMillis) {
    return deadlineMillis == ABSENT ? timeoutMillis : Math.min(deadlineMillis, timeoutMillis);
  }

  /**
   * What must stay with one service: a stream's line of turns, else the object it concerns.
   *
   * @param stream whether the request is a stream
   */
  public String conversationOrObject(boolean stream) {
    return stream && sessionId != null ? sessionId : affinityKey;
  }

  /**
   * What should stay with one engine: a stream's program, else the object it concerns.
   *
   * @param stream whether the request is a stream
   */
  public String programOrObject(boolean stream) {
    return stream ? programId : affinityKey;
  }

  /** Whether the request is a turn of a program with a token budget. */
  public boolean budgeted() {
    return programId != null && tokenBudget != ABSENT && maxOutputTokens > 0;
  }
}
