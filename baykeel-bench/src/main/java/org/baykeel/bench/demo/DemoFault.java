package org.baykeel.bench.demo;

/** What a demo does to its processes while the trace is replayed. */
public enum DemoFault {
  NONE,
  /** One engine's process is killed and stays away. */
  KILL_ENGINE,
  /** The second node's process is killed, and started again. */
  KILL_NODE,
  /** The second node's process is stopped by a signal, and goes on later. */
  FREEZE_NODE,
  /** The second node is stopped as planned, and started again. */
  STOP_NODE,
  /** The platform does not answer for a while. */
  STORE_DOWN,
  /** The platform's writes take effect, but every answer is lost, for a while. */
  STORE_LOSES_ANSWERS
}
