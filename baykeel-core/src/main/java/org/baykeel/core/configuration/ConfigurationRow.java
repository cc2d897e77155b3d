package org.baykeel.core.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.Payload;

/**
 * The accepted configuration as it stands in the table service.
 *
 * @param version rises by one with each acceptance
 * @param baseVersion the version that the plan was made against
 * @param digest hexadecimal SHA-256 of the document; with the base version it tells whether a plan
 *     whose answer was lost has been accepted
 * @param history the latest versions, newest first
 */
public record ConfigurationRow(
    long version, long baseVersion, String digest, String document, List<HistoryEntry> history) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int HISTORY_LENGTH = 50;

  /** The row before the first acceptance. */
  public static final ConfigurationRow NONE = new ConfigurationRow(0, 0, "", "", List.of());

  /**
   * One accepted version.
   *
   * @param differences how many declarations it changed
   */
  public record HistoryEntry(long version, String digest, long acceptedAtMillis, int differences) {}

  public ConfigurationRow {
    history = List.copyOf(history);
  }

  /** The row that accepting a plan leads to. */
  ConfigurationRow accept(ConfigurationPlan plan, long nowMillis) {
    List<HistoryEntry> entries = new ArrayList<>();
    entries.add(new HistoryEntry(version + 1, plan.digest(), nowMillis, plan.differences().size()));
    entries.addAll(history.subList(0, Math.min(history.size(), HISTORY_LENGTH - 1)));
    return new ConfigurationRow(version + 1, version, plan.digest(), plan.document(), entries);
  }

  /** True if this row is what accepting the plan led to. */
  boolean isAcceptanceOf(ConfigurationPlan plan) {
    return version > 0 && baseVersion == plan.baseVersion() && digest.equals(plan.digest());
  }

  /** The row as JSON. */
  public Payload encode() {
    try {
      return Payload.wrap(MAPPER.writeValueAsBytes(this));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a row is plain data", e);
    }
  }

  /** Reads a row. */
  public static ConfigurationRow decode(Payload value) {
    try {
      return MAPPER.readValue(value.array(), ConfigurationRow.class);
    } catch (IOException e) {
      throw new BaykeelException(ErrorKind.INTERNAL, "the configuration row cannot be read");
    }
  }
}
