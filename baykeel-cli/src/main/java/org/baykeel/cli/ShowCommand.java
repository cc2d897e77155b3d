package org.baykeel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.baykeel.bench.client.OperatorClient;

/** Prints a resource of the operator API, as a table or as JSON. */
final class ShowCommand extends OperatorCommand {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String path;

  ShowCommand(String path) {
    this.path = path;
  }

  @Override
  public int run() throws IOException {
    OperatorClient.Answer response = client().get(path);
    if (!response.isSuccess()) {
      return reportFailure(response);
    }
    if (isJsonOutput()) {
      System.out.println(response.body());
      return ExitCode.OK;
    }
    JsonNode root = MAPPER.readTree(response.body());
    System.out.print(TextTable.of(root));
    return ExitCode.OK;
  }
}
