package org.baykeel.gateway.storage;

/**
 * A request for rows of a partition in ascending order of key.
 *
 * @param table the table
 * @param partition the partition; may be empty
 * @param fromKey the first key, or null for the first of the partition
 * @param limit the maximum number of rows
 */
public record RangeRead(String table, String partition, String fromKey, int limit) {}
