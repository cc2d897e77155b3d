package org.baykeel.bench.simulation;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * One fault of a schedule. Times are in milliseconds after the start.
 *
 * @param kind what goes wrong
 * @param atMillis when it begins
 * @param durationMillis how long it lasts; a killed node starts again after that
 * @param target the node, engine or zone that it strikes
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Fault(Kind kind, int atMillis, int durationMillis, int target) {
  /** What can go wrong. */
  public enum Kind {
    /** A node's process dies and starts again without memory. */
    KILL_NODE,
    /** A node's process stands still and wakes as if nothing had happened. */
    FREEZE_NODE,
    /** A node cannot reach the others, but its callers and back ends. */
    CUT_NODE,
    /** The nodes fall into two halves. */
    SPLIT,
    /** Messages between nodes are lost, repeated and reordered. */
    BAD_NETWORK,
    /** The platform's stores do not answer and do nothing. */
    STORE_DOWN,
    /** Writes take effect and their answers are lost. */
    STORE_LOSES_ANSWERS,
    /** The stores answer late. */
    STORE_SLOW,
    /** An engine's process dies with its cache and streams, and starts again. */
    KILL_ENGINE,
    /** Connections to back ends break while requests run. */
    BREAK_CONNECTIONS,
    /** An engine says that it is leaving, and later serves again. */
    ENGINE_LEAVES,
    /** Two operators confirm conflicting plans through different nodes. */
    OPERATOR_RACE,
    /** A node is stopped as planned, and started again later. */
    PLANNED_STOP
  }
}
