package org.baykeel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.baykeel.bench.client.OperatorClient;
import org.kohsuke.args4j.Argument;

/**
 * Drains an engine at once: plans and confirms the current configuration with the state of the
 * engine changed to {@code DRAINING}. The declarations in version control are not changed; they
 * should be updated to the same state afterwards.
 */
final class DrainCommand extends OperatorCommand {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Argument(metaVar = "ENGINE", required = true, usage = "name of the engine")
  private String engine;

  @Override
  public int run() throws IOException {
    OperatorClient client = client();
    OperatorClient.Answer current = client.get("/operator/configuration");
    if (!current.isSuccess()) {
      return reportFailure(current);
    }
    JsonNode document = MAPPER.readTree(MAPPER.readTree(current.body()).path("document").asText());
    if (!markDraining(document)) {
      System.err.println("no engine '" + engine + "' in the current configuration");
      return ExitCode.FAILED;
    }
    OperatorClient.Answer plan = client.post("/operator/plan", document.toString());
    if (!plan.isSuccess()) {
      return reportFailure(plan);
    }
    OperatorClient.Answer confirmation = client.post("/operator/confirm", plan.body());
    if (!confirmation.isSuccess()) {
      return reportFailure(confirmation);
    }
    System.out.println(confirmation.body());
    return ExitCode.OK;
  }

  private boolean markDraining(JsonNode document) {
    for (JsonNode item : document.path("engines")) {
      if (item.path("name").asText().equals(engine)) {
        ((ObjectNode) item).put("state", "DRAINING");
        return true;
      }
    }
    return false;
  }
}
