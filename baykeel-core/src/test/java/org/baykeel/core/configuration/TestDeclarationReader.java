package org.baykeel.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.baykeel.core.yaml.YamlProblem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestDeclarationReader {
  private static final String VALID =
      """
      models:
        - {name: planner, promptPrice: 1, completionPrice: 4}
      engines:
        - {name: e1, address: "127.0.0.1:9000", zone: hall-a, models: [planner]}
      programClasses:
        - {name: planning, budget: 1000}
      """;

  private static List<YamlProblem> problems(String text) {
    return DeclarationReader.read(Map.of("a.yaml", text)).problems();
  }

  @Test
  void validDeclarationsHaveNoProblems() {
    assertEquals(List.of(), problems(VALID));
  }

  @Test
  void equalDeclarationsGiveEqualDocumentsWhateverTheirOrder() {
    String two = "tenants:\n  - {name: %s, keySha256: " + "0".repeat(64) + "}\n";
    Map<String, String> oneWay = Map.of("a.yaml", two.formatted("a"), "b.yaml", two.formatted("b"));
    Map<String, String> otherWay =
        Map.of("a.yaml", two.formatted("b"), "b.yaml", two.formatted("a"));
    assertEquals(
        DeclarationCodec.encode(DeclarationReader.read(oneWay).declarations()),
        DeclarationCodec.encode(DeclarationReader.read(otherWay).declarations()));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "models: 3 | 1 | models | must be a list of mappings",
        "models: [{name: BIG}] | 1 | models[0].name | is no name",
        "models: [{name: a, promptPrice: -1}] | 1 | models[0].promptPrice | whole number",
        "models: [{name: a}, {name: a}] | 1 | models[1].name | stands already",
        "engines: [{name: e, zone: z}] | 1 | engines[0].address | a text is required",
        "engines: [{name: e, zone: z, address: x}] | 1 | engines[0].address | IP:PORT",
        "programClasses: [{name: c}] | 1 | programClasses[0].budget | is required",
        "programClasses: [{name: c, budget: 1, colour: red}] | 1 | programClasses[0].colour |"
            + " unknown key; allowed:",
        "tools: [{name: t, addresses: ['127.0.0.1:1'], operations: [{name: put}]}] | 1 |"
            + " tools[0].operations[0].repeatable | allowed: true, false",
        "nonsense: 1 | 1 | nonsense | unknown key",
        "'models: [{name: a}' | 1 | '' | not valid YAML",
        "'- 1' | 1 | '' | must be a mapping"
      })
  void eachErrorNamesFileLineKeyAndWhatIsAllowed(
      String text, int line, String key, String message) {
    List<YamlProblem> found = problems(text);
    assertTrue(
        found.stream()
            .anyMatch(
                problem ->
                    problem.file().equals("a.yaml")
                        && problem.line() == line
                        && problem.key().equals(key)
                        && problem.message().contains(message)),
        found.toString());
  }

  @Test
  void allErrorsAreReportedAtOnce() {
    String text = "models: [{name: A}]\nengines: [{name: e}]\nother: 1\n";
    assertEquals(4, problems(text).size(), problems(text).toString());
  }

  @Test
  void engineOfAnUndeclaredModelIsAnError() {
    String text = "engines: [{name: e, zone: z, address: \"127.0.0.1:1\", models: [m]}]";
    assertTrue(problems(text).get(0).message().contains("no model 'm' is declared"));
  }
}
