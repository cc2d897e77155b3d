package org.baykeel.bench.demo;

import java.util.List;
import java.util.Set;

/**
 * One of the two deployments of the brief, in the sizes of today.
 *
 * @param nodes number of nodes, one a zone
 * @param engines number of model engines
 * @param tool name of the tool service
 * @param toolInstances number of its instances
 * @param models models that every engine serves
 * @param notRepeatable operations that must not be repeated
 * @param repeatable operations that may be repeated
 * @param classes program classes
 */
public record Deployment(
    String name,
    int nodes,
    int engines,
    String tool,
    int toolInstances,
    List<String> models,
    Set<String> notRepeatable,
    Set<String> repeatable,
    List<ClassDeclaration> classes) {

  /** A program class of the deployment. */
  public record ClassDeclaration(String name, int priority, long budget, int turnLimit) {}

  /** The survey association: three halls, eight engines, three instances for the tablets. */
  public static final Deployment ASSOCIATION =
      new Deployment(
          "association",
          3,
          8,
          "tablet",
          3,
          List.of("form-assistant", "review-assistant"),
          Set.of("put"),
          Set.of("lookup"),
          List.of(
              new ClassDeclaration("consent", 10, 100_000, 10),
              new ClassDeclaration("review", 20, 2_000_000, 260),
              new ClassDeclaration("enumeration", 30, 100_000, 50),
              new ClassDeclaration("drafting", 40, 1_000_000, 260),
              new ClassDeclaration("default", 50, 100_000, 10)));

  /** The freight planner: four halls, ten engines, four instances for dispatch. */
  public static final Deployment FREIGHT =
      new Deployment(
          "freight",
          4,
          10,
          "dispatch",
          4,
          List.of("planner"),
          Set.of("confirm", "alert"),
          Set.of("blocks"),
          List.of(
              new ClassDeclaration("alerting", 10, 100_000, 10),
              new ClassDeclaration("planning", 20, 5_000_000, 260),
              new ClassDeclaration("default", 50, 100_000, 10)));

  /** The deployment with a name, or null. */
  public static Deployment named(String name) {
    return switch (name) {
      case "association" -> ASSOCIATION;
      case "freight" -> FREIGHT;
      default -> null;
    };
  }

  /** The zone of the n-th node. */
  public String zone(int node) {
    return "hall-" + (char) ('a' + node);
  }
}
