package org.baykeel.core.program;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.LogRecord.AttemptFailed;
import org.baykeel.core.message.LogRecord.CacheReleased;
import org.baykeel.core.message.LogRecord.CallCompleted;
import org.baykeel.core.message.LogRecord.CallDispatched;
import org.baykeel.core.message.LogRecord.ProgramCreated;
import org.baykeel.core.message.LogRecord.ProgramEnded;
import org.baykeel.core.message.LogRecord.ProgramForgotten;
import org.baykeel.core.message.LogRecord.ProgramRecord;
import org.baykeel.core.message.LogRecord.SubmissionRefused;
import org.baykeel.core.replication.ReplicaStateMachine;

/**
 * The programs of one shard, as the replicated log tells them. A program and all its sub-agents
 * stand in the same shard, so a budget that they share is checked in one place.
 *
 * <p>A record that no longer applies (an answer of an attempt that has since failed, say) changes
 * nothing: the leader that proposed it may have been deposed in between.
 */
public final class ProgramShard implements ReplicaStateMachine {
  private final Map<String, ProgramState> programs = new LinkedHashMap<>();

  /** The program with an id, or null. */
  public ProgramState program(String programId) {
    return programs.get(programId);
  }

  /** The program with an id if it belongs to the tenant, or null. */
  public ProgramState programOf(String tenant, String programId) {
    ProgramState program = programs.get(programId);
    boolean own = program != null && program.created().tenant().equals(tenant);
    return own ? program : null;
  }

  /** All programs, in order of creation. */
  public Collection<ProgramState> programs() {
    return Collections.unmodifiableCollection(programs.values());
  }

  @Override
  public void apply(LogRecord record) {
    if (record instanceof ProgramCreated created) {
      create(created);
    } else if (record instanceof ProgramRecord programRecord) {
      ProgramState program = programs.get(programRecord.programId());
      if (program != null) {
        applyTo(program, programRecord);
      }
    }
  }

  private void create(ProgramCreated record) {
    if (programs.containsKey(record.programId())) {
      return;
    }
    ProgramState parent = programs.get(record.parentId());
    boolean orphan = !record.parentId().isEmpty() && (parent == null || parent.ended() != null);
    if (!orphan) {
      ProgramState program = new ProgramState(record, parent);
      programs.put(record.programId(), program);
      program.journal().add(record);
    }
  }

  private void applyTo(ProgramState program, ProgramRecord record) {
    if (record instanceof ProgramForgotten) {
      forget(program);
    } else if (changes(program, record)) {
      program.journal().add(record);
    }
  }

  /** Applies a record if it is valid, and tells whether it was. */
  private static boolean changes(ProgramState program, ProgramRecord record) {
    if (record instanceof CallDispatched dispatched && isValidDispatch(program, dispatched)) {
      program.dispatch(dispatched);
      return true;
    }
    if (record instanceof CallCompleted completed
        && isOpenAttempt(program, completed.callSequence(), completed.attempt())) {
      program.complete(completed);
      return true;
    }
    if (record instanceof AttemptFailed failed && isValidFailure(program, failed)) {
      program.failAttempt(failed);
      return true;
    }
    if (record instanceof ProgramEnded ended && program.ended() == null) {
      program.end(ended);
      return true;
    }
    if (record instanceof SubmissionRefused refused) {
      program.refuse(refused);
      return true;
    }
    if (record instanceof CacheReleased released) {
      program.releaseCache(released.engine());
      return true;
    }
    return false;
  }

  /** Forgets a whole tree at once: a part of it would leave the root's budget unaccounted. */
  private void forget(ProgramState program) {
    if (program.parent() == null && program.ended() != null) {
      for (ProgramState member : program.tree()) {
        programs.remove(member.created().programId());
      }
    }
  }

  /**
   * True if a dispatch record keeps the order and the budget. Every replica decides alike; the
   * leader sends an attempt only if its record was valid.
   */
  public static boolean isValidDispatch(ProgramState program, CallDispatched record) {
    if (program.ended() != null || record.reservation() > program.available()) {
      return false;
    }
    CallState open = program.openCall();
    if (record.attempt() == 1) {
      return open == null && record.callSequence() == program.calls().size() + 1;
    }
    return open != null
        && !open.hasOpenAttempt()
        && record.callSequence() == program.calls().size()
        && record.attempt() == open.latest().attempt() + 1;
  }

  /**
   * True if a failure record settles the open attempt, or closes a call between two attempts (no
   * back end may be left to try).
   */
  public static boolean isValidFailure(ProgramState program, AttemptFailed record) {
    if (isOpenAttempt(program, record.callSequence(), record.attempt())) {
      return true;
    }
    CallState open = program.openCall();
    return open != null
        && record.closesCall()
        && record.cost() == 0
        && record.callSequence() == program.calls().size()
        && open.latest().attempt() == record.attempt();
  }

  /** True if the attempt is the program's open one. */
  public static boolean isOpenAttempt(ProgramState program, int callSequence, int attempt) {
    CallState open = program.openCall();
    return open != null
        && open.hasOpenAttempt()
        && callSequence == program.calls().size()
        && open.latest().attempt() == attempt;
  }

  @Override
  public List<LogRecord> snapshot() {
    List<LogRecord> records = new ArrayList<>();
    for (ProgramState program : programs.values()) {
      if (program.parent() == null) {
        records.addAll(program.journal());
      }
    }
    return records;
  }

  @Override
  public void reset() {
    programs.clear();
  }
}
