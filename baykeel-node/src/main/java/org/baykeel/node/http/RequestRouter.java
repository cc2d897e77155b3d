package org.baykeel.node.http;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;

/** Leads each request to its handler. */
final class RequestRouter {
  private static final Pattern PROGRAM = Pattern.compile("/v1/programs/([A-Za-z0-9-]{1,64})");
  private static final Pattern TOOL =
      Pattern.compile("/v1/tools/([a-z0-9.-]{1,63})/([a-z0-9.-]{1,63})");
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final byte[] OK = "ok\n".getBytes(StandardCharsets.UTF_8);

  private final NodeAccess node;
  private final CallerApi callers;
  private final OperatorApi operators;

  RequestRouter(NodeAccess node, CallerApi callers, OperatorApi operators) {
    this.node = requireNonNull(node, "node");
    this.callers = requireNonNull(callers, "callers");
    this.operators = requireNonNull(operators, "operators");
  }

  void route(HttpExchange exchange) {
    try {
      dispatch(exchange);
    } catch (BaykeelException e) {
      exchange.error(e);
    }
  }

  private void dispatch(HttpExchange exchange) {
    String request = exchange.method() + " " + exchange.path();
    if (exchange.path().startsWith("/operator/")) {
      operators.authorize(exchange);
    }
    if (exchange.path().startsWith("/v1/")) {
      callers.requireConfiguration(exchange);
    }
    switch (request) {
      case "POST /v1/chat/completions" -> callers.chatCompletion(exchange);
      case "POST /v1/programs" -> callers.createProgram(exchange);
      case "POST /operator/plan" -> operators.plan(exchange);
      case "POST /operator/confirm" -> operators.confirm(exchange);
      case "POST /operator/stop" -> operators.stop(exchange);
      case "GET /operator/status" -> operators.status(exchange);
      case "GET /operator/programs" -> operators.programs(exchange);
      case "GET /operator/engines" -> operators.engines(exchange);
      case "GET /operator/history" -> operators.history(exchange);
      case "GET /operator/configuration" -> operators.configuration(exchange);
      case "GET /metrics" -> exchange.respond(200, METRICS_TYPE, node.metrics());
      case "GET /health/live" -> exchange.respond(200, "text/plain", OK);
      case "GET /health/ready" -> readiness(exchange);
      default -> dispatchByPattern(exchange);
    }
  }

  private void readiness(HttpExchange exchange) {
    if (node.isReady()) {
      exchange.respond(200, "text/plain", OK);
    } else {
      exchange.error(ErrorKind.NOT_READY, ErrorKind.NOT_READY.summary(), 1_000);
    }
  }

  private void dispatchByPattern(HttpExchange exchange) {
    Matcher program = PROGRAM.matcher(exchange.path());
    if (program.matches() && exchange.method().equals("GET")) {
      callers.describeProgram(exchange, program.group(1));
      return;
    }
    if (program.matches() && exchange.method().equals("DELETE")) {
      callers.endProgram(exchange, program.group(1));
      return;
    }
    Matcher tool = TOOL.matcher(exchange.path());
    if (tool.matches() && exchange.method().equals("POST")) {
      callers.toolCall(exchange, tool.group(1), tool.group(2));
      return;
    }
    throw new BaykeelException(ErrorKind.UNKNOWN_RESOURCE, ErrorKind.UNKNOWN_RESOURCE.summary());
  }
}
