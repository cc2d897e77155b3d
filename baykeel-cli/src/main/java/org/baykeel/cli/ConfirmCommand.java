package org.baykeel.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.baykeel.bench.client.OperatorClient;
import org.kohsuke.args4j.Argument;

/** Applies exactly one plan. Confirming the same plan again tells whether it was accepted. */
final class ConfirmCommand extends NodeOptions {
  @Argument(metaVar = "PLAN", required = true, usage = "file written by baykeel plan")
  private Path planFile;

  @Override
  public int run() throws IOException {
    OperatorClient.Answer answer = client().post("/operator/confirm", Files.readString(planFile));
    if (!answer.isSuccess()) {
      return refused(answer);
    }
    System.out.println(answer.body());
    return ExitCode.OK;
  }
}
