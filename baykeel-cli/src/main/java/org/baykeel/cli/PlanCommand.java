package org.baykeel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.baykeel.bench.client.OperatorClient;
import org.baykeel.core.configuration.DeclarationCodec;
import org.baykeel.core.configuration.Declarations;
import org.kohsuke.args4j.Option;

/** Shows the changes that a directory of declarations would make, and writes the plan to a file. */
final class PlanCommand extends OperatorCommand {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Option(name = "-f", metaVar = "DIR", required = true, usage = "directory of declarations")
  private Path directory;

  @Option(name = "--out", metaVar = "FILE", usage = "file to write the plan to")
  private Path planFile = Path.of("baykeel.plan");

  @Override
  public int run() throws IOException {
    Declarations declarations = SettingsFiles.readDeclarations(directory);
    if (declarations == null) {
      return ExitCode.INVALID_FILE;
    }
    String document = DeclarationCodec.encode(declarations).text();
    OperatorClient.Answer response = client().post("/operator/plan", document);
    if (!response.isSuccess()) {
      return reportFailure(response);
    }
    Files.writeString(planFile, response.body());
    if (isJsonOutput()) {
      System.out.println(response.body());
    } else {
      print(MAPPER.readTree(response.body()));
    }
    return ExitCode.OK;
  }

  private void print(JsonNode plan) {
    System.out.println("base version " + plan.path("baseVersion").asLong());
    System.out.print(TextTable.of(plan.path("differences")));
    System.out.println("confirm with: baykeel confirm " + planFile);
  }
}
