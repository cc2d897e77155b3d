package org.baykeel.core.configuration;

import java.util.List;
import org.baykeel.core.message.Payload;

/**
 * What confirming a change would do. Nothing changes until the operator confirms exactly this plan.
 *
 * @param baseVersion the version in force when the plan was made; a confirmation is refused if
 *     another one is in force by then
 * @param digest hexadecimal SHA-256 of the document
 * @param differences what would change
 * @param document the whole new configuration
 */
public record ConfigurationPlan(
    long baseVersion, String digest, List<Difference> differences, String document) {
  public ConfigurationPlan {
    differences = List.copyOf(differences);
  }

  /** How a declaration differs. */
  public enum Change {
    ADD,
    CHANGE,
    REMOVE
  }

  /**
   * One difference.
   *
   * @param kind such as {@code engine}
   * @param effect what it means for running work
   */
  public record Difference(Change change, String kind, String name, String effect) {}

  /** The document's bytes. */
  public Payload documentPayload() {
    return Payload.of(document);
  }
}
