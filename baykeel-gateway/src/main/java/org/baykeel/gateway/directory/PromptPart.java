package org.baykeel.gateway.directory;

/**
 * A part of a prompt that may be shared with other requests.
 *
 * @param id identifies its content
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
