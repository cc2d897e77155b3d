package org.baykeel.cli;

import org.baykeel.bench.client.OperatorClient;
import org.kohsuke.args4j.Option;

/** Base class of the commands that send requests to the operator API of a node. */
abstract class OperatorCommand implements Command {
  @Option(name = "--node", metaVar = "IP:PORT", usage = "HTTP address of any node")
  private String node = "127.0.0.1:8080";

  @Option(name = "--key", metaVar = "KEY", usage = "the operators' key")
  private String key = "";

  @Option(name = "--output", metaVar = "FORMAT", usage = "output format: table or json")
  private String output = "table";

  OperatorClient client() {
    return new OperatorClient(node, key);
  }

  boolean isJsonOutput() {
    return output.equals("json");
  }

  /** Prints the error of a failed request and returns the exit code for it. */
  static int reportFailure(OperatorClient.Answer response) {
    System.err.println(response.body());
    return response.status() == 0 ? ExitCode.UNREACHABLE : ExitCode.FAILED;
  }
}
