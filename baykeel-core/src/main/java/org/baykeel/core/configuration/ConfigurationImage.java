package org.baykeel.core.configuration;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import org.baykeel.core.configuration.Declarations.Engine;
import org.baykeel.core.configuration.Declarations.Model;
import org.baykeel.core.configuration.Declarations.ProgramClass;
import org.baykeel.core.configuration.Declarations.Tenant;
import org.baykeel.core.configuration.Declarations.Tool;

/** One configuration version, immutable and indexed for look-ups. */
public final class ConfigurationImage {
  /** Stands before the first configuration; a node that has only this is not ready. */
  public static final ConfigurationImage NONE = new ConfigurationImage(0, Declarations.EMPTY);

  private final long version;
  private final Declarations declarations;
  private final Map<String, Tenant> tenantsByKey = new HashMap<>();
  private final Map<String, Tenant> tenants = new HashMap<>();
  private final Map<String, Model> models = new HashMap<>();
  private final Map<String, Engine> engines = new HashMap<>();
  private final Map<String, Tool> tools = new HashMap<>();
  private final Map<String, ProgramClass> programClasses = new HashMap<>();

  public ConfigurationImage(long version, Declarations declarations) {
    this.version = version;
    this.declarations = requireNonNull(declarations, "declarations");
    for (Tenant tenant : declarations.tenants()) {
      tenants.put(tenant.name(), tenant);
      tenantsByKey.put(tenant.keySha256(), tenant);
    }
    declarations.models().forEach(model -> models.put(model.name(), model));
    declarations.engines().forEach(engine -> engines.put(engine.name(), engine));
    declarations.tools().forEach(tool -> tools.put(tool.name(), tool));
    declarations.programClasses().forEach(item -> programClasses.put(item.name(), item));
  }

  /** The version; zero before the first. */
  public long version() {
    return version;
  }

  /** The content. */
  public Declarations declarations() {
    return declarations;
  }

  /** The tenant with the hexadecimal SHA-256 of an API key, or null. */
  public Tenant tenantByKey(String keySha256) {
    return tenantsByKey.get(keySha256);
  }

  /** The tenant with a name, or null. */
  public Tenant tenant(String name) {
    return tenants.get(name);
  }

  /** The model with a name, or null. */
  public Model model(String name) {
    return models.get(name);
  }

  /** The engine with a name, or null. */
  public Engine engine(String name) {
    return engines.get(name);
  }

  /** The tool with a name, or null. */
  public Tool tool(String name) {
    return tools.get(name);
  }

  /** The program class with a name, or null. */
  public ProgramClass programClass(String name) {
    return programClasses.get(name);
  }
}
