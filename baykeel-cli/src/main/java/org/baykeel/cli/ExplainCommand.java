package org.baykeel.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;

/** Prints the story of one request, session or program from log files of any nodes. */
final class ExplainCommand implements Command {
  @Argument(metaVar = "ID", index = 0, required = true, usage = "request, session or program")
  private String id;

  @Argument(metaVar = "FILE", index = 1, required = true, usage = "log files", multiValued = true)
  private List<Path> files = new ArrayList<>();

  @Override
  public int run() throws IOException {
    List<String> lines = new ArrayList<>();
    for (Path file : files) {
      lines.addAll(Files.readAllLines(file));
    }
    List<String> story = LogStory.of(id, lines.stream());
    if (story.isEmpty()) {
      System.err.println("no line tells of " + id);
      return ExitCode.FAILED;
    }
    story.forEach(System.out::println);
    return ExitCode.OK;
  }
}
