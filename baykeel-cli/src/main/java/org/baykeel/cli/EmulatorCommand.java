package org.baykeel.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.baykeel.emulator.EmulatorProcess;
import org.baykeel.emulator.EmulatorSettings;
import org.kohsuke.args4j.Argument;

/** Runs emulators of the platform and the back ends, for demos and tests, until it is killed. */
final class EmulatorCommand implements Command {
  @Argument(metaVar = "FILE", required = true, usage = "settings file of the emulator")
  private Path file;

  @Override
  public int run() throws IOException, InterruptedException {
    EmulatorSettings.Result result =
        EmulatorSettings.read(file.getFileName().toString(), Files.readString(file));
    SettingsFiles.printProblems(result.problems());
    if (!result.problems().isEmpty()) {
      return ExitCode.INVALID_FILE;
    }
    new EmulatorProcess(result.settings()).start();
    new CountDownLatch(1).await();
    return ExitCode.OK;
  }
}
