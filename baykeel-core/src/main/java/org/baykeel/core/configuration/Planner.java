package org.baykeel.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.baykeel.core.configuration.ConfigurationPlan.Change;
import org.baykeel.core.configuration.ConfigurationPlan.Difference;
import org.baykeel.core.configuration.Declarations.BackendState;
import org.baykeel.core.configuration.Declarations.Declaration;
import org.baykeel.core.configuration.Declarations.Engine;
import org.baykeel.core.configuration.Declarations.ProgramClass;
import org.baykeel.core.configuration.Declarations.Tool;
import org.baykeel.core.message.Payload;

/** Compares declarations with the configuration in force. */
public final class Planner {
  private Planner() {}

  /** The plan that leads from a configuration to declarations. */
  public static ConfigurationPlan plan(ConfigurationImage base, Declarations wanted) {
    Declarations present = base.declarations();
    List<Difference> differences = new ArrayList<>();
    compare("tenant", present.tenants(), wanted.tenants(), differences);
    compare("model", present.models(), wanted.models(), differences);
    compare("engine", present.engines(), wanted.engines(), differences);
    compare("tool", present.tools(), wanted.tools(), differences);
    compare("programClass", present.programClasses(), wanted.programClasses(), differences);
    Payload document = DeclarationCodec.encode(wanted);
    return new ConfigurationPlan(
        base.version(), DeclarationCodec.digest(document), differences, document.text());
  }

  private static void compare(
      String kind,
      List<? extends Declaration> present,
      List<? extends Declaration> wanted,
      List<Difference> differences) {
    Map<String, Declaration> before = byName(present);
    Map<String, Declaration> after = byName(wanted);
    TreeSet<String> names = new TreeSet<>(before.keySet());
    names.addAll(after.keySet());
    for (String name : names) {
      Declaration old = before.get(name);
      Declaration changed = after.get(name);
      if (old == null) {
        differences.add(new Difference(Change.ADD, kind, name, additionEffect(changed)));
      } else if (changed == null) {
        differences.add(new Difference(Change.REMOVE, kind, name, removalEffect(old)));
      } else if (!old.equals(changed)) {
        differences.add(new Difference(Change.CHANGE, kind, name, changeEffect(old, changed)));
      }
    }
  }

  private static Map<String, Declaration> byName(List<? extends Declaration> declarations) {
    Map<String, Declaration> result = new TreeMap<>();
    declarations.forEach(item -> result.put(item.name(), item));
    return result;
  }

  private static String additionEffect(Declaration added) {
    if (added instanceof Engine engine) {
      return "takes work for " + String.join(", ", engine.models());
    }
    return "can be used at once";
  }

  private static String removalEffect(Declaration removed) {
    if (removed instanceof Engine || removed instanceof Tool) {
      return "gets no new work; what runs is finished";
    }
    if (removed instanceof ProgramClass) {
      return "no new programs; those under way keep their budget";
    }
    return "new requests that name it are refused";
  }

  private static String changeEffect(Declaration old, Declaration changed) {
    if (state(changed) == BackendState.DRAINING && state(old) != BackendState.DRAINING) {
      return "gets no new work; what runs is finished";
    }
    if (changed instanceof ProgramClass) {
      return "holds for new programs; those under way keep their budget";
    }
    return "holds for new work";
  }

  private static BackendState state(Declaration declaration) {
    if (declaration instanceof Engine engine) {
      return engine.state();
    }
    return declaration instanceof Tool tool ? tool.state() : BackendState.SERVING;
  }
}
