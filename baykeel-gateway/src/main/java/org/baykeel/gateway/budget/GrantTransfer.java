package org.baykeel.gateway.budget;

/**
 * Granted tokens that one process gives up to another, and what it knows of the program's row.
 *
 * @param tokens tokens that the giver will not hand out any more
 * @param grantedTokens the row's granted tokens
 * @param grantId the row's last grant
 * @param rowVersion the row's version
 */
public record GrantTransfer(long tokens, long grantedTokens, long grantId, long rowVersion) {}
