package org.baykeel.core.scheduling;

import static java.util.Objects.requireNonNull;

/**
 * What a model call needs.
 *
 * @param programId the program
 * @param model the model
 * @param promptTokens estimate of the prompt's length in tokens
 */
public record CallDemand(String programId, String model, int promptTokens) {
  public CallDemand {
    requireNonNull(programId, "programId");
    requireNonNull(model, "model");
  }
}
