package org.baykeel.emulator;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.core.yaml.YamlProblem;
import org.baykeel.core.yaml.YamlReader;
import org.baykeel.core.yaml.YamlSection;
import org.baykeel.emulator.engine.EngineCosts;

/**
 * Which stand-ins one emulator process runs.
 *
 * @param platformPort port of the platform; -1 for none
 */
public record EmulatorSettings(
    String host,
    int platformPort,
    EngineCosts costs,
    List<EnginePort> engines,
    List<ToolPort> tools) {
  private static final int MAXIMUM_PORT = 65_535;

  public EmulatorSettings {
    engines = List.copyOf(engines);
    tools = List.copyOf(tools);
  }

  /** An engine and its port. */
  public record EnginePort(String name, int port) {}

  /** A tool service, its port and the time of each operation. */
  public record ToolPort(String name, int port, int serviceMillis) {}

  /** Settings and what is wrong with them. */
  public record Result(EmulatorSettings settings, List<YamlProblem> problems) {}

  /** Reads settings from the text of a file. */
  public static Result read(String file, String text) {
    List<YamlProblem> problems = new ArrayList<>();
    YamlSection root = new YamlSection(file, "", YamlReader.read(file, text, problems), problems);
    String host = root.requiredText("host");
    int platformPort = (int) root.number("platformPort", -1, -1, MAXIMUM_PORT);
    EngineCosts costs = readCosts(root.section("costs"));
    List<EnginePort> engines = new ArrayList<>();
    for (YamlSection section : root.sections("engines")) {
      engines.add(
          new EnginePort(
              section.requiredName("name"), (int) section.requiredNumber("port", 0, MAXIMUM_PORT)));
      section.rejectUnknownKeys();
    }
    List<ToolPort> tools = new ArrayList<>();
    for (YamlSection section : root.sections("tools")) {
      tools.add(
          new ToolPort(
              section.requiredName("name"),
              (int) section.requiredNumber("port", 0, MAXIMUM_PORT),
              (int) section.number("serviceMillis", 20, 0, 600_000)));
      section.rejectUnknownKeys();
    }
    root.rejectUnknownKeys();
    return new Result(
        new EmulatorSettings(host, platformPort, costs, engines, tools), List.copyOf(problems));
  }

  private static EngineCosts readCosts(YamlSection section) {
    EngineCosts base = EngineCosts.DEFAULT;
    EngineCosts costs =
        new EngineCosts(
            (int)
                section.number(
                    "prefillTokensPerSecond", base.prefillTokensPerSecond(), 1, 10_000_000),
            (int) section.number("stepMicros", base.stepMicros(), 1, 10_000_000),
            (int) section.number("sequenceMicros", base.sequenceMicros(), 0, 10_000_000),
            (int) section.number("stepTokenBudget", base.stepTokenBudget(), 1, 1_000_000),
            (int) section.number("maximumBatch", base.maximumBatch(), 1, 10_000),
            section.number("cacheTokens", base.cacheTokens(), 1, 1_000_000_000L),
            (int) section.number("blockTokens", base.blockTokens(), 1, 10_000));
    section.rejectUnknownKeys();
    return costs;
  }
}
