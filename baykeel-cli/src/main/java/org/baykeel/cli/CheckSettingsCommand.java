package org.baykeel.cli;

import java.io.IOException;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;

/** Checks a node's settings file. */
final class CheckSettingsCommand implements Command {
  @Argument(metaVar = "FILE", required = true, usage = "settings file of a node")
  private Path file;

  @Override
  public int run() throws IOException {
    if (SettingsFiles.readNode(file) == null) {
      return ExitCode.INVALID_FILE;
    }
    System.out.println(file.getFileName() + ": ok");
    return ExitCode.OK;
  }
}
