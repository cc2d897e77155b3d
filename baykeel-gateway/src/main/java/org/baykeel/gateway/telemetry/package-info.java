/** Structured lines about decisions, and counters. */
package org.baykeel.gateway.telemetry;
