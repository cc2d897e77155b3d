package org.baykeel.gateway.call;

import java.util.List;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.tenancy.ApiKey;

/**
 * The attributes of a request, parsed from its header fields. Absent texts are null, absent numbers
 * {@link #ABSENT}.
 *
 * @param requestId the unique identifier of the request
 * @param deadlineMillis how long the caller waits, in milliseconds
 * @param finishMillis the time until the program's finish target, in milliseconds
 * @param programId the program that it belongs to
 * @param sessionId its conversation within the program
 * @param tokenBudget the tokens that all turns of the program together may generate
 * @param maxOutputTokens the most tokens that this turn generates
 * @param model the model that it asks for
 * @param prompt the parts of its prompt, in order
 * @param previousTurn the turn that it continues
 * @param lastEventId the last event of a broken stream that the caller has
 * @param resumedRequestId the request whose response brought the first event of that stream
 * @param affinityKey the object that it concerns
 * @param apiKey the key that identifies its tenant
 */
public record CallAttributes(
    String requestId,
    long deadlineMillis,
    long finishMillis,
    String programId,
    String sessionId,
    long tokenBudget,
    int maxOutputTokens,
    String model,
    List<PromptPart> prompt,
    String previousTurn,
    long lastEventId,
    String resumedRequestId,
    String affinityKey,
    ApiKey apiKey) {

  /** The value of a number that the request does not carry. */
  public static final int ABSENT = -1;

  public CallAttributes {
    prompt = List.copyOf(prompt);
  }

  /**
   * Creates the attributes of a request that names neither a model nor the request that it resumes.
   */
  public CallAttributes(
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
    this(
        requestId,
        deadlineMillis,
        finishMillis,
        programId,
        sessionId,
        tokenBudget,
        maxOutputTokens,
        null,
        prompt,
        previousTurn,
        lastEventId,
        null,
        affinityKey,
        apiKey);
  }

  /** Whether the request continues a broken stream, of which the caller has some events. */
  public boolean resumesStream() {
    return lastEventId != ABSENT;
  }

  /**
   * Whether the request belongs to the conversation that started its program, and not to a
   * sub-agent's.
   */
  public boolean firstConversation() {
    return programId != null && programId.equals(sessionId);
  }

  /**
   * The time that the request has, in milliseconds: until the caller's deadline, but no longer than
   * the route allows.
   *
   * @param routeTimeoutMillis the longest time that the route holds a request
   */
  public long timeoutMillis(long routeTimeoutMillis) {
    return deadlineMillis == ABSENT
        ? routeTimeoutMillis
        : Math.min(deadlineMillis, routeTimeoutMillis);
  }

  /**
   * The key of requests that must stay with one service: a stream's conversation, else the object
   * that the request concerns.
   *
   * @param stream whether the request is a stream
   */
  public String conversationOrObject(boolean stream) {
    return stream && sessionId != null ? sessionId : affinityKey;
  }

  /**
   * The key of requests that should stay with one engine: a stream's program, else the object that
   * the request concerns.
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
