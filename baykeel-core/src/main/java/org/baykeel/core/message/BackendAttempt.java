package org.baykeel.core.message;

import static java.util.Objects.requireNonNull;

/**
 * One attempt as it is sent to a back end.
 *
 * @param backend name of the engine or tool service
 * @param address IP:PORT
 * @param target model or tool
 * @param operation the tool's operation; for a model its sampling parameters, as the content of a
 *     JSON object
 * @param body the whole prompt (content of a JSON array of messages) or the tool's request
 * @param continuation the beginning of the answer that callers have already received, or empty
 * @param resume true to take up the attempt's stream again instead of starting it
 * @param priority the engine serves lower numbers first
 * @param timeoutMillis longest time without any sign of progress
 * @param idempotencyKey sent along to tool services
 */
public record BackendAttempt(
    AttemptId id,
    CallKind kind,
    String backend,
    String address,
    String target,
    String operation,
    Payload body,
    int maximumTokens,
    Payload continuation,
    boolean resume,
    int priority,
    int timeoutMillis,
    String idempotencyKey) {
  public BackendAttempt {
    requireNonNull(id, "id");
    requireNonNull(kind, "kind");
    requireNonNull(address, "address");
    requireNonNull(body, "body");
    requireNonNull(continuation, "continuation");
  }
}
