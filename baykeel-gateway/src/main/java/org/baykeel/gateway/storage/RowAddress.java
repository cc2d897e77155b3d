package org.baykeel.gateway.storage;

/**
 * The address of a row. Rows of one partition can be changed in one transaction.
 *
 * @param table the table
 * @param partition the partition; may be empty
 * @param key the key, unique within table and partition
 */
public record RowAddress(String table, String partition, String key) {}
