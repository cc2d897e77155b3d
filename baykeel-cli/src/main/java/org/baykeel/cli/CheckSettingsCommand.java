package org.baykeel.cli;

import java.io.IOException;
import java.nio.file.Path;
import org.baykeel.platform.PlatformSettings;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Validates the settings file of a node, or of the node process on the users' platform. */
final class CheckSettingsCommand implements Command {
  @Argument(metaVar = "FILE", required = true, usage = "settings file to check")
  private Path file;

  @Option(
      name = "--platform",
      usage = "treat FILE as the settings file of the node process on the users' platform")
  private boolean platform;

  @Override
  public int run() throws IOException {
    return platform ? checkPlatform() : checkNode();
  }

  private int checkPlatform() {
    try {
      PlatformSettings.read(file);
    } catch (PlatformSettings.InvalidSettingsException e) {
      System.err.println(file.getFileName() + ": " + e.getMessage());
      return ExitCode.INVALID_FILE;
    }
    System.out.println(file.getFileName() + ": ok");
    return ExitCode.OK;
  }

  private int checkNode() throws IOException {
    if (SettingsFiles.readNode(file) == null) {
      return ExitCode.INVALID_FILE;
    }
    System.out.println(file.getFileName() + ": ok");
    return ExitCode.OK;
  }
}
