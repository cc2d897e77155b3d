package org.baykeel.cli;

import java.io.IOException;
import java.nio.file.Path;
import org.baykeel.node.NodeProcess;
import org.baykeel.node.settings.ProcessSettings;
import org.kohsuke.args4j.Argument;

/** Runs a node until it is stopped. SIGTERM starts a planned stop. */
final class NodeCommand implements Command {
  @Argument(metaVar = "FILE", required = true, usage = "settings file of the node")
  private Path file;

  @Override
  public int run() throws IOException, InterruptedException {
    ProcessSettings settings = SettingsFiles.readNode(file);
    if (settings == null) {
      return ExitCode.INVALID_FILE;
    }
    NodeProcess node = new NodeProcess(settings);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  node.beginStop();
                  awaitQuietly(node);
                }));
    node.start();
    node.awaitStop();
    return ExitCode.OK;
  }

  private static void awaitQuietly(NodeProcess node) {
    try {
      node.awaitStop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
