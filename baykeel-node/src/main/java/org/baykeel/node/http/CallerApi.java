package org.baykeel.node.http;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HexFormat;
import java.util.UUID;
import java.util.regex.Pattern;
import org.baykeel.core.configuration.Declarations.Operation;
import org.baykeel.core.configuration.Declarations.ProgramClass;
import org.baykeel.core.configuration.Declarations.Tenant;
import org.baykeel.core.configuration.Declarations.Tool;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.Payload;
import org.baykeel.core.routing.ProgramIds;

/** The callers' interface; docs/openapi.yaml describes it. */
final class CallerApi {
  /** Names the program of a call. */
  static final String PROGRAM_HEADER = "Baykeel-Program";

  /** Class of the program that is made for a call without one. */
  static final String CLASS_HEADER = "Baykeel-Class";

  /** How long the call may wait for its dispatch, in milliseconds. */
  static final String DEADLINE_HEADER = "Baykeel-Deadline-Millis";

  static final String KEY_HEADER = "Idempotency-Key";

  private static final String DEFAULT_CLASS = "default";
  private static final int DEFAULT_DEADLINE_MILLIS = 60_000;
  private static final int MAXIMUM_KEY_LENGTH = 200;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final Pattern DIGITS = Pattern.compile("[1-9][0-9]{0,8}");

  private final NodeAccess node;
  private final PendingReplies replies;

  CallerApi(NodeAccess node, PendingReplies replies) {
    this.node = requireNonNull(node, "node");
    this.replies = requireNonNull(replies, "replies");
  }

  private record Key(String text, boolean fromCaller) {}

  /**
   * Refuses every caller for as long as this node knows no configuration, and so no tenant. A
   * request under the caller's own key may have run through another node.
   */
  void requireConfiguration(HttpExchange exchange) {
    if (node.configuration().version() > 0) {
      return;
    }
    boolean keyed = !exchange.header(KEY_HEADER).isEmpty();
    ErrorKind kind = keyed ? ErrorKind.LEADER_UNREACHABLE : ErrorKind.NOT_READY;
    throw new BaykeelException(kind, "this node knows no configuration yet");
  }

  private Tenant tenant(HttpExchange exchange) {
    String authorization = exchange.header("Authorization");
    if (!authorization.startsWith("Bearer ")) {
      throw new BaykeelException(ErrorKind.UNAUTHORIZED, "an API key is required");
    }
    Payload key = Payload.of(authorization.substring("Bearer ".length()).trim());
    String digest = HexFormat.of().formatHex(key.sha256().array());
    Tenant tenant = node.configuration().tenantByKey(digest);
    if (tenant == null) {
      throw new BaykeelException(ErrorKind.UNAUTHORIZED, ErrorKind.UNAUTHORIZED.summary());
    }
    return tenant;
  }

  private static Key key(HttpExchange exchange) {
    String text = exchange.header(KEY_HEADER);
    if (text.length() > MAXIMUM_KEY_LENGTH) {
      throw new BaykeelException(
          ErrorKind.TOO_LARGE, KEY_HEADER + ": at most " + MAXIMUM_KEY_LENGTH + " characters");
    }
    return text.isEmpty() ? new Key(UUID.randomUUID().toString(), false) : new Key(text, true);
  }

  private int shardOf(String programId) {
    int shard = ProgramIds.shardOf(programId, node.shardCount());
    if (shard < 0) {
      throw new BaykeelException(ErrorKind.UNKNOWN_PROGRAM, ErrorKind.UNKNOWN_PROGRAM.summary());
    }
    return shard;
  }

  private long deadline(HttpExchange exchange, int classDeadlineMillis) {
    String text = exchange.header(DEADLINE_HEADER);
    if (text.isEmpty()) {
      return node.nowMillis() + classDeadlineMillis;
    }
    if (!DIGITS.matcher(text).matches()) {
      throw ChatRequest.invalid(DEADLINE_HEADER + ": a whole number of milliseconds from 1");
    }
    return node.nowMillis() + Long.parseLong(text);
  }

  private void submit(HttpExchange exchange, CallerRequest request, Key key, ReplySink sink) {
    long requestId = replies.register(sink);
    node.requestStarted(requestId);
    exchange.whenCallerGone(() -> cancel(requestId));
    node.execute(core -> core.submit(requestId, request, key.fromCaller(), node.nowMillis()));
  }

  private void cancel(long requestId) {
    replies.remove(requestId);
    node.requestCancelled(requestId);
    node.execute(core -> core.cancel(requestId, node.nowMillis()));
  }

  // ---- programs ----

  void createProgram(HttpExchange exchange) {
    Tenant tenant = tenant(exchange);
    JsonNode body = ChatRequest.parseObject(exchange.body());
    String programClass = body.path("class").asText("");
    if (programClass.isEmpty()) {
      throw ChatRequest.invalid("class: a text is required");
    }
    String parent = body.path("parent").asText("");
    Key key = key(exchange);
    CallerRequest request = creation(tenant, programClass, parent, key);
    submit(exchange, request, key, reply -> answerJson(exchange, 201, reply));
  }

  private CallerRequest creation(Tenant tenant, String programClass, String parent, Key key) {
    String seed = tenant.name() + "\n" + key.text();
    int shard = parent.isEmpty() ? ProgramIds.shardFor(seed, node.shardCount()) : shardOf(parent);
    return new CallerRequest(
        CallerRequest.Kind.CREATE_PROGRAM,
        shard,
        tenant.name(),
        ProgramIds.create(shard, seed),
        key.text(),
        node.nowMillis() + DEFAULT_DEADLINE_MILLIS,
        0,
        programClass,
        parent,
        Payload.EMPTY,
        Payload.EMPTY);
  }

  void describeProgram(HttpExchange exchange, String programId) {
    Tenant tenant = tenant(exchange);
    CallerRequest request = programRequest(CallerRequest.Kind.DESCRIBE_PROGRAM, tenant, programId);
    Key key = new Key(request.idempotencyKey(), false);
    submit(exchange, request, key, reply -> answerJson(exchange, 200, reply));
  }

  void endProgram(HttpExchange exchange, String programId) {
    Tenant tenant = tenant(exchange);
    CallerRequest request = programRequest(CallerRequest.Kind.END_PROGRAM, tenant, programId);
    Key key = new Key(request.idempotencyKey(), false);
    submit(exchange, request, key, reply -> answerJson(exchange, 200, reply));
  }

  private CallerRequest programRequest(CallerRequest.Kind kind, Tenant tenant, String programId) {
    return new CallerRequest(
        kind,
        shardOf(programId),
        tenant.name(),
        programId,
        UUID.randomUUID().toString(),
        node.nowMillis() + DEFAULT_DEADLINE_MILLIS,
        0,
        "",
        "",
        Payload.EMPTY,
        Payload.EMPTY);
  }

  private static void answerJson(HttpExchange exchange, int status, CallerReply reply) {
    if (reply instanceof CallerReply.Completed completed) {
      exchange.respond(status, "application/json", completed.answer().array());
    } else if (reply instanceof CallerReply.Failed failed) {
      exchange.error(failed.kind(), failed.detail(), failed.retryAfterMillis());
    }
  }

  // ---- calls ----

  void chatCompletion(HttpExchange exchange) {
    Tenant tenant = tenant(exchange);
    ChatRequest chat = ChatRequest.parse(exchange.body());
    Key key = key(exchange);
    String programId = exchange.header(PROGRAM_HEADER);
    String answerId = "chatcmpl-" + key.text();
    ChatReply reply = new ChatReply(exchange, chat, answerId, node.nowMillis() / MILLIS_PER_SECOND);
    if (programId.isEmpty()) {
      callInOwnProgram(exchange, tenant, chat, key, reply);
      return;
    }
    submit(exchange, modelCall(exchange, tenant, programId, chat, key), key, reply);
  }

  private CallerRequest modelCall(
      HttpExchange exchange, Tenant tenant, String programId, ChatRequest chat, Key key) {
    return new CallerRequest(
        CallerRequest.Kind.MODEL_CALL,
        shardOf(programId),
        tenant.name(),
        programId,
        key.text(),
        deadline(exchange, DEFAULT_DEADLINE_MILLIS),
        chat.maximumTokens(),
        chat.model(),
        chat.options(),
        chat.messages(),
        Payload.EMPTY);
  }

  /** A call without a program gets one of its own, which ends with the call. */
  private void callInOwnProgram(
      HttpExchange exchange, Tenant tenant, ChatRequest chat, Key key, ReplySink reply) {
    String classHeader = exchange.header(CLASS_HEADER);
    String programClass = classHeader.isEmpty() ? DEFAULT_CLASS : classHeader;
    ProgramClass declared = node.configuration().programClass(programClass);
    if (declared == null) {
      throw new BaykeelException(
          ErrorKind.UNKNOWN_TARGET,
          PROGRAM_HEADER + " is missing, and no class '" + programClass + "' is declared");
    }
    CallerRequest creation = creation(tenant, programClass, "", key);
    String programId = creation.programId();
    CallerRequest call = modelCall(exchange, tenant, programId, chat, key);
    ReplySink afterCreation =
        created -> {
          if (created instanceof CallerReply.Completed) {
            submit(exchange, call, key, callReply -> endAfter(callReply, reply, call));
          } else {
            reply.onReply(created);
          }
        };
    submit(exchange, creation, key, afterCreation);
  }

  private void endAfter(CallerReply callReply, ReplySink reply, CallerRequest call) {
    reply.onReply(callReply);
    if (callReply instanceof CallerReply.Chunk) {
      return;
    }
    CallerRequest end =
        new CallerRequest(
            CallerRequest.Kind.END_PROGRAM,
            call.shard(),
            call.tenant(),
            call.programId(),
            UUID.randomUUID().toString(),
            node.nowMillis() + DEFAULT_DEADLINE_MILLIS,
            0,
            "",
            "",
            Payload.EMPTY,
            Payload.EMPTY);
    long requestId = replies.register(ended -> {});
    node.execute(core -> core.submit(requestId, end, false, node.nowMillis()));
  }

  void toolCall(HttpExchange exchange, String toolName, String operationName) {
    Tenant tenant = tenant(exchange);
    String programId = exchange.header(PROGRAM_HEADER);
    if (programId.isEmpty()) {
      throw ChatRequest.invalid(PROGRAM_HEADER + ": a program is required");
    }
    Tool tool = node.configuration().tool(toolName);
    Operation operation = tool == null ? null : tool.operation(operationName);
    if (operation == null) {
      throw new BaykeelException(ErrorKind.UNKNOWN_TARGET, ErrorKind.UNKNOWN_TARGET.summary());
    }
    Key key = key(exchange);
    CallerRequest request =
        new CallerRequest(
            CallerRequest.Kind.TOOL_CALL,
            shardOf(programId),
            tenant.name(),
            programId,
            key.text(),
            deadline(exchange, DEFAULT_DEADLINE_MILLIS),
            0,
            toolName,
            operationName,
            Payload.wrap(exchange.body()),
            Payload.EMPTY);
    submit(exchange, request, key, reply -> answerJson(exchange, 200, reply));
  }
}
