/**
 * The interface to the durable store, whose data outlives every process: conditional transactions,
 * range reads and a change feed. Adapters implement it for a concrete service, and tests with an
 * in-memory store. The package also keeps this process's view of the store: its health, bounds on
 * its clock and the position in each watched table. All of it is used from the event loop only.
 */
package org.baykeel.gateway.storage;
