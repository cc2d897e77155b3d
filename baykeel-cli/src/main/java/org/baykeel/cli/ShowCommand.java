package org.baykeel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.baykeel.bench.client.OperatorClient;

/** Shows one of the operators' views, as a table or as JSON. */
final class ShowCommand extends NodeOptions {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final String path;

  ShowCommand(String path) {
    this.path = path;
  }

  @Override
  public int run() throws IOException {
    OperatorClient.Answer answer = client().get(path);
    if (!answer.isSuccess()) {
      return refused(answer);
    }
    if (wantsJson()) {
      System.out.println(answer.body());
      return ExitCode.OK;
    }
    JsonNode root = MAPPER.readTree(answer.body());
    System.out.print(TextTable.of(root));
    return ExitCode.OK;
  }
}
