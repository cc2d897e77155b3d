package org.baykeel.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Prints the log lines that concern one request, session or program, from log files of any nodes,
 * or a summary of all programs that ended late or failed.
 */
final class ExplainCommand implements Command {
  @Option(
      name = "--ledger",
      usage = "summarize the programs that ended late or failed, with causes")
  private boolean printLossSummary;

  @Argument(
      metaVar = "[ID] FILE...",
      required = true,
      usage = "id of a request, session or program (not with --ledger), then log files",
      multiValued = true)
  private List<String> arguments = new ArrayList<>();

  @Override
  public int run() throws IOException {
    int firstFile = printLossSummary ? 0 : 1;
    List<String> lines = new ArrayList<>();
    for (String file : arguments.subList(firstFile, arguments.size())) {
      lines.addAll(Files.readAllLines(Path.of(file)));
    }
    if (printLossSummary) {
      ProgramLossSummary.of(lines.stream()).forEach(System.out::println);
      return ExitCode.OK;
    }
    List<String> excerpt = LogExcerpt.of(arguments.get(0), lines.stream());
    if (excerpt.isEmpty()) {
      System.err.println("no log line mentions " + arguments.get(0));
      return ExitCode.FAILED;
    }
    excerpt.forEach(System.out::println);
    return ExitCode.OK;
  }
}
