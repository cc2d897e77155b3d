/**
 * The gateway's structured event log and its metrics. All other packages use both from the event
 * loop: writing an event never blocks, and counters are plain numbers. Event numbers and names,
 * field names and metric names are used by operators and do not change.
 */
package org.baykeel.gateway.telemetry;
