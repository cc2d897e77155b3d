package org.baykeel.cli;

import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** The entry point of {@code bin/baykeel}. */
public final class BaykeelCommand {
  private static final Map<String, Supplier<Command>> COMMANDS = new LinkedHashMap<>();

  static {
    COMMANDS.put("node", NodeCommand::new);
    COMMANDS.put("check-settings", CheckSettingsCommand::new);
    COMMANDS.put("explain", ExplainCommand::new);
    COMMANDS.put("plan", PlanCommand::new);
    COMMANDS.put("confirm", ConfirmCommand::new);
    COMMANDS.put("status", () -> new ShowCommand("/operator/status"));
    COMMANDS.put("programs", () -> new ShowCommand("/operator/programs"));
    COMMANDS.put("engines", () -> new ShowCommand("/operator/engines"));
    COMMANDS.put("config history", () -> new ShowCommand("/operator/history"));
    COMMANDS.put("drain", DrainCommand::new);
    COMMANDS.put("stop", StopCommand::new);
    COMMANDS.put("emulator", EmulatorCommand::new);
    COMMANDS.put("demo", DemoCommand::new);
    COMMANDS.put("bench path", BenchPathCommand::new);
    COMMANDS.put("bench hollow", BenchHollowCommand::new);
    COMMANDS.put("simulate", SimulateCommand::new);
    COMMANDS.put("record-traces", RecordTracesCommand::new);
  }

  private BaykeelCommand() {}

  /** Runs a subcommand and exits the process with its exit code. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    System.exit(run(arguments));
  }

  static int run(String[] arguments) throws IOException, InterruptedException {
    int wordCount = commandWordCount(arguments);
    if (wordCount == 0) {
      System.err.println(
          "usage: baykeel COMMAND [options]; use COMMAND --help for the options of a command");
      System.err.println("commands: " + String.join(", ", COMMANDS.keySet()));
      return ExitCode.USAGE;
    }
    String name = String.join(" ", Arrays.copyOf(arguments, wordCount));
    Command command = COMMANDS.get(name).get();
    CmdLineParser parser = new CmdLineParser(command);
    String[] rest = Arrays.copyOfRange(arguments, wordCount, arguments.length);
    if (Arrays.asList(rest).contains("--help")) {
      System.out.println("baykeel " + name);
      parser.printUsage(System.out);
      return ExitCode.OK;
    }
    try {
      parser.parseArgument(rest);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      return ExitCode.USAGE;
    }
    return command.run();
  }

  /** Returns the number of leading arguments that name a command, or 0 if they name none. */
  private static int commandWordCount(String[] arguments) {
    for (int wordCount = Math.min(2, arguments.length); wordCount > 0; wordCount--) {
      if (COMMANDS.containsKey(String.join(" ", Arrays.copyOf(arguments, wordCount)))) {
        return wordCount;
      }
    }
    return 0;
  }
}
