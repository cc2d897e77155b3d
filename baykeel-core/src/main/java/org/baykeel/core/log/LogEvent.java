package org.baykeel.core.log;

import java.lang.System.Logger.Level;

/**
 * The closed list of numbered log events. docs/EVENTS.md is checked against it by a test. No event
 * carries any content of a caller's request or answer.
 */
public enum LogEvent {
  NODE_STARTED(100, Level.INFO, "node {0} listens: peers {1}, http {2}"),
  NODE_READY(101, Level.INFO, "node is ready"),
  NODE_STOPPING(102, Level.INFO, "node is stopping; streams are finished first"),
  NODE_STOPPED(103, Level.INFO, "node has stopped after {0} ms"),
  MEMBER_CHANGED(110, Level.INFO, "member {0} is {1}"),
  SHARDS_ASSIGNED(120, Level.INFO, "shard assignment adopted: {0} shards, generation {1}"),
  SHARDS_CREATED(121, Level.INFO, "shard assignment written for {0} members"),
  LEADER_ELECTED(122, Level.INFO, "leads shard {0} from term {1}"),
  LEADERSHIP_LOST(123, Level.INFO, "no longer leads shard {0}, term {1}"),
  REPLICA_ADDED(124, Level.INFO, "shard {0}: {1} joins as a learner"),
  REPLICA_REMOVED(125, Level.INFO, "shard {0}: {1} is removed"),
  ATTEMPT_FAILED(130, Level.WARNING, "attempt {0} at {1} failed: {2}"),
  LATE_ANSWER_DROPPED(131, Level.WARNING, "answer of attempt {0} came late and was dropped"),
  OUTCOME_UNKNOWN(132, Level.WARNING, "call {0} was sent once and its outcome is not known"),
  CACHE_RELEASED(133, Level.DEBUG, "engine {0} holds nothing of program {1}"),
  CACHE_LEFTOVER(134, Level.INFO, "engine {0} still held cache of ended program {1}"),
  CONFIGURATION_ADOPTED(140, Level.INFO, "configuration {0} is in force"),
  CONFIGURATION_ACCEPTED(141, Level.INFO, "configuration {0} was confirmed here"),
  ENGINE_STATUS(150, Level.INFO, "engine {0} is {1}"),
  STORE_UNAVAILABLE(160, Level.WARNING, "platform {0} did not answer: {1}"),
  PEER_FRAME_DROPPED(170, Level.WARNING, "frame from {0} was dropped: {1}"),
  INTERNAL_FAULT(199, Level.ERROR, "internal fault: {0}");

  private final int number;
  private final Level level;
  private final String pattern;

  LogEvent(int number, Level level, String pattern) {
    this.number = number;
    this.level = level;
    this.pattern = pattern;
  }

  /** The event's number; never reused. */
  public int number() {
    return number;
  }

  /** The level it is logged at. */
  public Level level() {
    return level;
  }

  /** The text, with {0}, {1} ... for the arguments. */
  public String pattern() {
    return pattern;
  }
}
