package org.baykeel.cli;

import java.io.IOException;
import org.baykeel.bench.client.OperatorClient;

/** Starts the planned stop of a node. */
final class StopCommand extends OperatorCommand {
  @Override
  public int run() throws IOException {
    OperatorClient.Answer response = client().post("/operator/stop", "");
    if (!response.isSuccess()) {
      return reportFailure(response);
    }
    System.out.println(response.body());
    return ExitCode.OK;
  }
}
