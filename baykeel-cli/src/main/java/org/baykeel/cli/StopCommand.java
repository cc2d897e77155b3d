package org.baykeel.cli;

import java.io.IOException;
import org.baykeel.bench.client.OperatorClient;

/** Begins the planned stop of a node. */
final class StopCommand extends NodeOptions {
  @Override
  public int run() throws IOException {
    OperatorClient.Answer answer = client().post("/operator/stop", "");
    if (!answer.isSuccess()) {
      return refused(answer);
    }
    System.out.println(answer.body());
    return ExitCode.OK;
  }
}
