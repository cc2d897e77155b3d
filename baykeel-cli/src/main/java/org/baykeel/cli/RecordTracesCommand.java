package org.baykeel.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.baykeel.bench.trace.TraceRecorder;
import org.kohsuke.args4j.Argument;

/** Regenerates the project's traces and their expected outcomes, from fixed seeds. */
final class RecordTracesCommand implements Command {
  private static final long ASSOCIATION_SEED = 20_261;
  private static final long FREIGHT_SEED = 20_262;
  private static final int ASSOCIATION_SCALE = 24;
  private static final int FREIGHT_SCALE = 30;

  @Argument(metaVar = "DIR", required = true, usage = "directory to write to")
  private Path directory;

  @Override
  public int run() throws IOException {
    write("association", TraceRecorder.association(ASSOCIATION_SEED, ASSOCIATION_SCALE));
    write("freight", TraceRecorder.freight(FREIGHT_SEED, FREIGHT_SCALE));
    return ExitCode.OK;
  }

  private void write(String name, TraceRecorder.Recording recording) throws IOException {
    Files.write(directory.resolve(name + ".jsonl"), recording.trace().lines());
    Files.writeString(directory.resolve(name + ".outcomes.yaml"), recording.outcomes().yaml());
  }
}
