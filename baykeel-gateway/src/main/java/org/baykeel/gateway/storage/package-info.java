/**
 * The port to storage that outlives every process: conditional transactions, range reads and a
 * change feed. Adapters translate it to a concrete service; tests use an in-memory double.
 */
package org.baykeel.gateway.storage;
