package org.baykeel.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.baykeel.core.configuration.Declarations.BackendState;
import org.baykeel.core.configuration.Declarations.Declaration;
import org.baykeel.core.configuration.Declarations.Engine;
import org.baykeel.core.configuration.Declarations.Model;
import org.baykeel.core.configuration.Declarations.Operation;
import org.baykeel.core.configuration.Declarations.ProgramClass;
import org.baykeel.core.configuration.Declarations.Tenant;
import org.baykeel.core.configuration.Declarations.Tool;
import org.baykeel.core.yaml.YamlNode;
import org.baykeel.core.yaml.YamlProblem;
import org.baykeel.core.yaml.YamlReader;
import org.baykeel.core.yaml.YamlSection;

/** Reads and checks the declaration files of a directory as one whole. */
public final class DeclarationReader {
  private static final long MAXIMUM_PRICE = 1_000_000;
  private static final long MAXIMUM_BUDGET = 1_000_000_000_000_000L;
  private static final int MAXIMUM_TIMEOUT_MILLIS = 3_600_000;
  private static final int SHA256_HEX_LENGTH = 64;

  private final List<YamlProblem> problems = new ArrayList<>();
  private final Map<String, YamlSection> declaredAt = new HashMap<>();
  private final List<Tenant> tenants = new ArrayList<>();
  private final List<Model> models = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Tool> tools = new ArrayList<>();
  private final List<ProgramClass> programClasses = new ArrayList<>();

  /**
   * The outcome of reading.
   *
   * @param declarations what was declared; meaningful only if there are no problems
   * @param problems all errors found
   */
  public record Result(Declarations declarations, List<YamlProblem> problems) {}

  private DeclarationReader() {}

  /**
   * Reads declarations.
   *
   * @param files file name to content
   */
  public static Result read(Map<String, String> files) {
    DeclarationReader reader = new DeclarationReader();
    new TreeMap<>(files).forEach(reader::readFile);
    reader.checkReferences();
    return new Result(reader.declarations(), List.copyOf(reader.problems));
  }

  private Declarations declarations() {
    Comparator<Declaration> byName = Comparator.comparing(Declaration::name);
    tenants.sort(byName);
    models.sort(byName);
    engines.sort(byName);
    tools.sort(byName);
    programClasses.sort(byName);
    return new Declarations(tenants, models, engines, tools, programClasses);
  }

  private void readFile(String file, String text) {
    YamlNode.Mapping root = YamlReader.read(file, text, problems);
    YamlSection section = new YamlSection(file, "", root, problems);
    section.sections("tenants").forEach(this::readTenant);
    section.sections("models").forEach(this::readModel);
    section.sections("engines").forEach(this::readEngine);
    section.sections("tools").forEach(this::readTool);
    section.sections("programClasses").forEach(this::readProgramClass);
    section.rejectUnknownKeys();
  }

  private String readUniqueName(String kind, YamlSection section) {
    String name = section.requiredName("name");
    YamlSection earlier = declaredAt.putIfAbsent(kind + " " + name, section);
    if (earlier != null) {
      section.problem(
          "name", "'" + name + "' stands already in " + earlier.file() + ":" + earlier.line());
    }
    return name;
  }

  private void readTenant(YamlSection section) {
    String name = readUniqueName("tenant", section);
    String keySha256 = section.requiredText("keySha256");
    if (keySha256.length() != SHA256_HEX_LENGTH) {
      section.problem("keySha256", "must be 64 hexadecimal digits");
    }
    int maximumPrograms = (int) section.number("maximumPrograms", 1_000, 1, 1_000_000);
    tenants.add(new Tenant(name, keySha256, maximumPrograms));
    section.rejectUnknownKeys();
  }

  private void readModel(YamlSection section) {
    models.add(
        new Model(
            readUniqueName("model", section),
            section.number("promptPrice", 1, 0, MAXIMUM_PRICE),
            section.number("completionPrice", 1, 0, MAXIMUM_PRICE),
            (int) section.number("maximumContextTokens", 131_072, 1, 10_000_000)));
    section.rejectUnknownKeys();
  }

  private void readEngine(YamlSection section) {
    engines.add(
        new Engine(
            readUniqueName("engine", section),
            section.requiredAddress("address"),
            section.requiredName("zone"),
            section.texts("models"),
            (int) section.number("concurrency", 8, 1, 100_000),
            section.number("cacheTokens", 1_000_000, 1, 1_000_000_000L),
            section.choice("state", BackendState.class, BackendState.SERVING)));
    section.rejectUnknownKeys();
  }

  private void readTool(YamlSection section) {
    String name = readUniqueName("tool", section);
    List<String> addresses = section.texts("addresses");
    if (addresses.isEmpty()) {
      section.problem("addresses", "at least one address is required");
    }
    for (String address : addresses) {
      if (!YamlSection.isAddress(address)) {
        section.problem("addresses", "'" + address + "' is no address; allowed: IP:PORT");
      }
    }
    BackendState state = section.choice("state", BackendState.class, BackendState.SERVING);
    List<Operation> operations = new ArrayList<>();
    section.sections("operations").forEach(item -> operations.add(readOperation(item)));
    if (operations.isEmpty()) {
      section.problem("operations", "at least one operation is required");
    }
    tools.add(new Tool(name, addresses, state, operations));
    section.rejectUnknownKeys();
  }

  private Operation readOperation(YamlSection section) {
    Operation operation =
        new Operation(
            section.requiredName("name"),
            section.requiredFlag("repeatable"),
            section.number("cost", 0, 0, MAXIMUM_BUDGET),
            (int) section.number("timeoutMillis", 30_000, 1, MAXIMUM_TIMEOUT_MILLIS));
    section.rejectUnknownKeys();
    return operation;
  }

  private void readProgramClass(YamlSection section) {
    programClasses.add(
        new ProgramClass(
            readUniqueName("programClass", section),
            (int) section.number("priority", 100, 0, 1_000),
            section.requiredNumber("budget", 1, MAXIMUM_BUDGET),
            (int) section.number("turnLimit", 260, 1, 100_000),
            (int) section.number("deadlineMillis", 60_000, 1, MAXIMUM_TIMEOUT_MILLIS)));
    section.rejectUnknownKeys();
  }

  private void checkReferences() {
    for (Engine engine : engines) {
      for (String model : engine.models()) {
        if (models.stream().noneMatch(known -> known.name().equals(model))) {
          YamlSection section = declaredAt.get("engine " + engine.name());
          section.problem("models", "no model '" + model + "' is declared");
        }
      }
    }
  }
}
