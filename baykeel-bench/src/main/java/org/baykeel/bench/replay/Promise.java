package org.baykeel.bench.replay;

/** The ten promises of the brief, as an observer outside the nodes can check them. */
public enum Promise {
  ORDER,
  HISTORY,
  BUDGET,
  ENGINE_MEMORY,
  WHOLE_ANSWER,
  NOT_RUN_IS_TRUE,
  AT_MOST_ONCE,
  LEAVING_BACKEND,
  PLANNED_STOP,
  CONFIGURATION
}
