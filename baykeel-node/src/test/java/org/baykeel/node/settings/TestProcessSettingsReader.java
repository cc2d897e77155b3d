package org.baykeel.node.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.baykeel.core.yaml.YamlProblem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestProcessSettingsReader {
  private static final String VALID =
      """
      nodeId: 1
      host: 127.0.0.1
      peerPort: 7000
      httpPort: 8080
      zone: hall-a
      region: home
      platform: {tableService: "127.0.0.1:1"}
      """;

  private static List<YamlProblem> problems(String text) {
    return ProcessSettingsReader.read("node.yaml", text).problems();
  }

  @Test
  void validSettingsHaveNoProblems() {
    assertEquals(List.of(), problems(VALID));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "peerPort: 70000 | peerPort | from 0 to 65535",
        "nodeId: one | nodeId | whole number",
        "zone: Hall A | zone | is no name",
        "seeds: [here] | seeds | IP:PORT",
        "colour: red | colour | unknown key",
        "log: {format: xml} | log.format | allowed: text, json",
        "scheduling: {policy: best} | scheduling.policy | cache-aware",
        "replication: {heartbeatMillis: 900, electionMillis: 1000} | '' | two heartbeats",
        "shards: {count: 0} | shards.count | from 1"
      })
  void eachErrorNamesItsKeyAndWhatIsAllowed(String line, String key, String message) {
    String name = line.substring(0, line.indexOf(':') + 1);
    String text =
        VALID.lines().filter(item -> !item.startsWith(name)).reduce("", (a, b) -> a + b + "\n");
    List<YamlProblem> found = problems(text + line + "\n");
    assertTrue(
        found.stream().anyMatch(item -> item.key().equals(key) && item.message().contains(message)),
        found.toString());
  }

  @Test
  void allErrorsAreReportedAtOnce() {
    assertTrue(problems("nodeId: x\nzone: A B\nother: 1\n").size() >= 6);
  }
}
