package org.baykeel.node.http;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.baykeel.core.configuration.ConfigurationManager.Confirmation;
import org.baykeel.core.configuration.ConfigurationPlan;
import org.baykeel.core.configuration.Declarations.Engine;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.message.Payload;
import org.baykeel.core.node.NodeCore;
import org.baykeel.core.program.ProgramShard;
import org.baykeel.core.program.ProgramState;

/** The operators' interface. */
final class OperatorApi {
  private final NodeAccess node;
  private final String operatorKeySha256;

  OperatorApi(NodeAccess node, String operatorKeySha256) {
    this.node = requireNonNull(node, "node");
    this.operatorKeySha256 = requireNonNull(operatorKeySha256, "operatorKeySha256");
  }

  /** Answer to a confirmation. */
  record Accepted(long version) {}

  /** What a node knows of one member. */
  record MemberLine(int node, String status, String zone, String region, String http) {}

  /** A node's view of the installation. */
  record Status(
      int node,
      boolean ready,
      long configurationVersion,
      int shards,
      int ledShards,
      int pendingRequests,
      int waitingCalls,
      List<MemberLine> members) {}

  /** One program that this node leads. */
  record ProgramLine(
      String id,
      String tenant,
      String programClass,
      String state,
      int calls,
      long spent,
      long budget,
      String engine) {}

  /** One engine. */
  record EngineLine(
      String name,
      String zone,
      String declared,
      String reported,
      int running,
      int waiting,
      long freeCacheTokens) {}

  /** The declarations in force. */
  record Configuration(long version, String document) {}

  void authorize(HttpExchange exchange) {
    if (operatorKeySha256.isEmpty()) {
      return;
    }
    String authorization = exchange.header("Authorization");
    String key = authorization.startsWith("Bearer ") ? authorization.substring(7).trim() : "";
    String digest = HexFormat.of().formatHex(Payload.of(key).sha256().array());
    if (!digest.equals(operatorKeySha256)) {
      throw new BaykeelException(ErrorKind.UNAUTHORIZED, "an operator's key is required");
    }
  }

  void plan(HttpExchange exchange) {
    Payload document = Payload.wrap(exchange.body());
    node.execute(
        core -> {
          try {
            exchange.json(200, core.configuration().plan(document));
          } catch (BaykeelException e) {
            exchange.error(e);
          }
        });
  }

  void confirm(HttpExchange exchange) {
    ConfigurationPlan plan = readPlan(exchange.body());
    node.execute(
        core -> {
          try {
            core.confirm(plan, node.nowMillis(), outcome -> answer(exchange, outcome));
          } catch (BaykeelException e) {
            exchange.error(e);
          }
        });
  }

  private static ConfigurationPlan readPlan(byte[] body) {
    try {
      return HttpExchange.MAPPER.readValue(body, ConfigurationPlan.class);
    } catch (IOException e) {
      throw new BaykeelException(ErrorKind.INVALID_DECLARATION, "the plan cannot be read");
    }
  }

  private static void answer(HttpExchange exchange, Confirmation outcome) {
    if (outcome instanceof Confirmation.Accepted accepted) {
      exchange.json(200, new Accepted(accepted.version()));
    } else if (outcome instanceof Confirmation.Refused refused) {
      exchange.error(refused.kind(), refused.detail(), 0);
    }
  }

  void status(HttpExchange exchange) {
    node.execute(core -> exchange.json(200, status(core)));
  }

  private static Status status(NodeCore core) {
    List<MemberLine> members = new ArrayList<>();
    for (MemberUpdate member : core.membership().members()) {
      members.add(
          new MemberLine(
              member.id().nodeId(),
              ErrorBody.lowerCase(member.status()),
              member.address().zone(),
              member.address().region(),
              member.address().host() + ":" + member.address().httpPort()));
    }
    return new Status(
        core.self().nodeId(),
        core.isReady(),
        core.configuration().image().version(),
        core.shardCount(),
        core.ledShards(),
        core.edge().pendingRequests(),
        core.scheduler().waitingCalls(),
        members);
  }

  void programs(HttpExchange exchange) {
    node.execute(core -> exchange.json(200, programs(core)));
  }

  private static List<ProgramLine> programs(NodeCore core) {
    List<ProgramLine> lines = new ArrayList<>();
    for (int shard = 0; shard < core.shardCount(); shard++) {
      ProgramShard programs = core.programs(shard);
      if (programs == null || !core.group(shard).isReadyLeader()) {
        continue;
      }
      for (ProgramState program : programs.programs()) {
        lines.add(line(program));
      }
    }
    return lines;
  }

  private static ProgramLine line(ProgramState program) {
    return new ProgramLine(
        program.created().programId(),
        program.created().tenant(),
        program.created().programClass(),
        program.ended() == null ? "active" : "ended",
        program.calls().size(),
        program.spent(),
        program.created().budget(),
        program.lastEngine());
  }

  void engines(HttpExchange exchange) {
    node.execute(core -> exchange.json(200, engines(core)));
  }

  private static List<EngineLine> engines(NodeCore core) {
    List<EngineLine> lines = new ArrayList<>();
    for (Engine engine : core.configuration().image().declarations().engines()) {
      EngineReport report = core.engines().report(engine.name());
      lines.add(
          new EngineLine(
              engine.name(),
              engine.zone(),
              ErrorBody.lowerCase(engine.state()),
              report == null ? "unknown" : ErrorBody.lowerCase(report.status()),
              report == null ? 0 : report.running(),
              report == null ? 0 : report.waiting(),
              report == null ? 0 : report.freeCacheTokens()));
    }
    return lines;
  }

  void history(HttpExchange exchange) {
    node.execute(core -> exchange.json(200, core.configuration().history()));
  }

  void configuration(HttpExchange exchange) {
    node.execute(
        core ->
            exchange.json(
                200,
                new Configuration(
                    core.configuration().image().version(),
                    core.configuration().document().text())));
  }

  void stop(HttpExchange exchange) {
    node.beginStop();
    exchange.json(202, new Stopping(true));
  }

  /** Answer to the request for a planned stop. */
  record Stopping(boolean stopping) {}
}
