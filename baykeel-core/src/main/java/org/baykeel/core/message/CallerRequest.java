package org.baykeel.core.message;

import static java.util.Objects.requireNonNull;

/**
 * A caller's request as the edge hands it to the shard leader.
 *
 * @param kind what is asked
 * @param shard the shard of the program
 * @param programId the program; for a creation the id that the edge has chosen
 * @param idempotencyKey chosen by the caller, or by the edge where the caller gave none
 * @param deadlineMillis latest time at which the call may still be dispatched, in epoch
 *     milliseconds
 * @param maximumTokens most tokens to generate
 * @param target program class, model or tool
 * @param operation parent program for a creation, tool operation for a tool call, sampling
 *     parameters for a model call
 * @param body new messages (a JSON array's content) or the tool's request
 * @param receivedText what the caller has already received of a broken stream
 */
public record CallerRequest(
    Kind kind,
    int shard,
    String tenant,
    String programId,
    String idempotencyKey,
    long deadlineMillis,
    int maximumTokens,
    String target,
    String operation,
    Payload body,
    Payload receivedText) {

  /** What a caller can ask of a shard leader. */
  public enum Kind {
    CREATE_PROGRAM,
    MODEL_CALL,
    TOOL_CALL,
    END_PROGRAM,
    DESCRIBE_PROGRAM;

    private static final Kind[] VALUES = values();

    /** The kind with the given ordinal. */
    public static Kind of(int ordinal) {
      return VALUES[ordinal];
    }
  }

  public CallerRequest {
    requireNonNull(kind, "kind");
    requireNonNull(tenant, "tenant");
    requireNonNull(programId, "programId");
    requireNonNull(idempotencyKey, "idempotencyKey");
    requireNonNull(target, "target");
    requireNonNull(operation, "operation");
    requireNonNull(body, "body");
    requireNonNull(receivedText, "receivedText");
  }

  /** True for a model or tool call. */
  public boolean isCall() {
    return kind == Kind.MODEL_CALL || kind == Kind.TOOL_CALL;
  }

  /** The same request, with what the caller has received so far. */
  public CallerRequest withReceivedText(Payload received) {
    return new CallerRequest(
        kind,
        shard,
        tenant,
        programId,
        idempotencyKey,
        deadlineMillis,
        maximumTokens,
        target,
        operation,
        body,
        received);
  }

  /** What a second request with the same key must agree with. */
  public Payload digest() {
    String head = kind + "\n" + target + "\n" + operation + "\n" + maximumTokens + "\n";
    byte[] prefix = Payload.of(head).array();
    byte[] all = new byte[prefix.length + body.length()];
    System.arraycopy(prefix, 0, all, 0, prefix.length);
    System.arraycopy(body.array(), 0, all, prefix.length, body.length());
    return Payload.wrap(all).sha256();
  }
}
