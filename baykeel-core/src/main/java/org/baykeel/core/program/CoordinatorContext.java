package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import java.util.function.Supplier;
import org.baykeel.core.configuration.ConfigurationImage;
import org.baykeel.core.message.GroupId;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.retry.RetryBudget;
import org.baykeel.core.scheduling.CallScheduler;
import org.baykeel.core.scheduling.EngineDirectory;

/**
 * What the parts of a shard's coordinator share.
 *
 * @param dispatchLimitMillis a dispatch whose record took longer than this to commit is not sent;
 *     must be less than the time that followers wait before they elect another leader
 */
public record CoordinatorContext(
    GroupId group,
    MemberId self,
    ProgramShard shard,
    CoordinatorSettings settings,
    int dispatchLimitMillis,
    Supplier<ConfigurationImage> configuration,
    EngineDirectory engines,
    CallScheduler scheduler,
    RetryBudget retryBudget,
    CoordinatorOutput output) {
  public CoordinatorContext {
    requireNonNull(group, "group");
    requireNonNull(self, "self");
    requireNonNull(shard, "shard");
    requireNonNull(settings, "settings");
    requireNonNull(configuration, "configuration");
    requireNonNull(engines, "engines");
    requireNonNull(scheduler, "scheduler");
    requireNonNull(retryBudget, "retryBudget");
    requireNonNull(output, "output");
  }
}
