package org.baykeel.gateway.storage;

/**
 * Names a row. Rows of one partition can change together.
 *
 * @param table the table
 * @param partition the partition; may be empty
 * @param key the key within table and partition
 */
public record RowAddress(String table, String partition, String key) {}
