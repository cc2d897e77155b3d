package org.baykeel.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.baykeel.bench.client.OperatorClient;
import org.kohsuke.args4j.Argument;

/** Applies one plan. Confirming the same plan again reports whether it has been accepted. */
final class ConfirmCommand extends OperatorCommand {
  @Argument(metaVar = "PLAN", required = true, usage = "file written by baykeel plan")
  private Path planFile;

  @Override
  public int run() throws IOException {
    OperatorClient.Answer response = client().post("/operator/confirm", Files.readString(planFile));
    if (!response.isSuccess()) {
      return reportFailure(response);
    }
    System.out.println(response.body());
    return ExitCode.OK;
  }
}
