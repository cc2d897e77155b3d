package org.baykeel.cli;

import org.baykeel.bench.client.OperatorClient;
import org.kohsuke.args4j.Option;

/** The options of every command that talks to a node. */
abstract class OperatorCommand implements Command {
  @Option(name = "--node", metaVar = "IP:PORT", usage = "HTTP address of any node")
  private String node = "127.0.0.1:8080";

  @Option(name = "--key", metaVar = "KEY", usage = "the operators' key")
  private String key = "";

  @Option(name = "--output", metaVar = "FORMAT", usage = "table or json")
  private String output = "table";

  OperatorClient client() {
    return new OperatorClient(node, key);
  }

  boolean isJsonOutput() {
    return output.equals("json");
  }

  /** Prints what a node refused and returns the exit code. */
  static int reportFailure(OperatorClient.Answer response) {
    System.err.println(response.body());
    return response.status() == 0 ? ExitCode.UNREACHABLE : ExitCode.FAILED;
  }
}
