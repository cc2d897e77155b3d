package org.baykeel.gateway.budget;

/**
 * Granted tokens that one node transfers to another, with the program's row as the sender last
 * received it.
 *
 * @param tokens the transferred tokens, which the sender no longer uses
 * @param grantedTokens the granted tokens of the row
 * @param grantId the last grant of the row
 * @param rowVersion the version of the row
 */
public record GrantTransfer(long tokens, long grantedTokens, long grantId, long rowVersion) {}
