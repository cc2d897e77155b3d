package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.CallKind;
import org.baykeel.core.message.LogRecord;
import org.baykeel.core.message.LogRecord.AttemptFailed;
import org.baykeel.core.message.LogRecord.CallCompleted;
import org.baykeel.core.message.LogRecord.CallDispatched;
import org.baykeel.core.message.LogRecord.ProgramCreated;
import org.baykeel.core.message.LogRecord.ProgramEnded;
import org.baykeel.core.message.LogRecord.SubmissionRefused;

/**
 * The replicated state of one program.
 *
 * <p>Invariant: at most one call is open, so the calls run in the order of their sequence numbers.
 * Invariant: {@code spent + reserved <= budget}, for the program and each of its ancestors; a
 * program's figures include its children's.
 */
public final class ProgramState {
  private static final int MAXIMUM_REFUSALS = 64;

  private final ProgramCreated created;
  private final ProgramState parent;
  private final List<CallState> calls = new ArrayList<>();
  private final Map<String, CallState> callsByKey = new HashMap<>();
  private final List<ProgramState> children = new ArrayList<>();
  private final Set<String> enginesHoldingCache = new TreeSet<>();
  private final List<LogRecord> journal = new ArrayList<>();
  private final Map<CallerOrigin, ErrorKind> refusedSubmissions = new LinkedHashMap<>();
  private long spent;
  private long reserved;
  private ProgramEnded ended;
  private String lastEngine = "";
  private int historyTokens;
  private long historyBytes;

  ProgramState(ProgramCreated created, ProgramState parent) {
    this.created = requireNonNull(created, "created");
    this.parent = parent;
    if (parent != null) {
      parent.children.add(this);
    }
  }

  /** The record that created the program. */
  public ProgramCreated created() {
    return created;
  }

  /** The parent program, or null. */
  public ProgramState parent() {
    return parent;
  }

  /** Its sub-agents. */
  public List<ProgramState> children() {
    return Collections.unmodifiableList(children);
  }

  /** Its calls, in order. */
  public List<CallState> calls() {
    return Collections.unmodifiableList(calls);
  }

  /** The call with an idempotency key, or null. */
  public CallState callByKey(String key) {
    return callsByKey.get(key);
  }

  /** The latest call if it is not closed, or null. */
  public CallState openCall() {
    if (calls.isEmpty()) {
      return null;
    }
    CallState last = calls.get(calls.size() - 1);
    return last.isClosed() ? null : last;
  }

  /** The record of its end, or null. */
  public ProgramEnded ended() {
    return ended;
  }

  /** Why a submission was refused, or null if it was not. */
  public ErrorKind refusalOf(CallerOrigin submission) {
    return refusedSubmissions.get(submission);
  }

  /** Settled cost of the program and its children, in cost units. */
  public long spent() {
    return spent;
  }

  /** Reserved cost of open attempts of the program and its children, in cost units. */
  public long reserved() {
    return reserved;
  }

  /** What may still be reserved, here and in every ancestor, in cost units. */
  public long available() {
    long own = created.budget() - spent - reserved;
    return parent == null ? own : Math.min(own, parent.available());
  }

  /** The engines that may hold cache of this program. */
  public Set<String> enginesHoldingCache() {
    return Collections.unmodifiableSet(enginesHoldingCache);
  }

  /** The engine that answered last, or empty. */
  public String lastEngine() {
    return lastEngine;
  }

  /** Tokens of the history after the last answer. */
  public int historyTokens() {
    return historyTokens;
  }

  /** Bytes of the history. */
  public long historyBytes() {
    return historyBytes;
  }

  /** Attained service: all tokens generated and read so far, in cost units. */
  public long attainedService() {
    return spent;
  }

  void dispatch(CallDispatched record) {
    reserve(record.reservation());
    if (record.kind() == CallKind.MODEL) {
      enginesHoldingCache.add(record.backend());
    }
    if (record.attempt() > 1) {
      calls.get(record.callSequence() - 1).dispatchAgain(record);
      return;
    }
    CallState call = new CallState(record);
    calls.add(call);
    callsByKey.put(record.idempotencyKey(), call);
  }

  void complete(CallCompleted record) {
    CallState call = calls.get(record.callSequence() - 1);
    settle(call.latest().reservation(), record.cost());
    call.complete(record);
    if (call.first().kind() == CallKind.MODEL) {
      lastEngine = call.latest().backend();
      historyTokens = record.usage().promptTokens() + record.usage().completionTokens();
      historyBytes += call.first().body().length() + record.answer().length();
    }
  }

  void failAttempt(AttemptFailed record) {
    CallState call = calls.get(record.callSequence() - 1);
    if (call.hasOpenAttempt()) {
      settle(call.latest().reservation(), record.cost());
    }
    call.failAttempt(record);
  }

  /** Ends the program and its children: a sub-agent does not outlive its parent. */
  void end(ProgramEnded record) {
    ended = record;
    for (ProgramState child : children) {
      if (child.ended == null) {
        child.end(new ProgramEnded(child.created.programId(), record.endedAtMillis()));
      }
    }
  }

  /** Notes a refusal; old ones go, since a copy is on its way for seconds at most. */
  void refuse(SubmissionRefused record) {
    CallerOrigin submission = new CallerOrigin(record.edge(), record.requestId());
    refusedSubmissions.put(submission, record.kind());
    if (refusedSubmissions.size() > MAXIMUM_REFUSALS) {
      refusedSubmissions.remove(refusedSubmissions.keySet().iterator().next());
    }
  }

  void releaseCache(String engine) {
    enginesHoldingCache.remove(engine);
  }

  private void reserve(long amount) {
    reserved += amount;
    if (parent != null) {
      parent.reserve(amount);
    }
  }

  private void settle(long reservation, long cost) {
    reserved -= reservation;
    spent += cost;
    if (parent != null) {
      parent.settle(reservation, cost);
    }
  }

  /**
   * The applied records of this program and its descendants, in order. Kept by the root, because
   * the validity of a record depends on what the whole tree had spent before it.
   */
  List<LogRecord> journal() {
    return parent == null ? journal : parent.journal();
  }

  /** This program and all its descendants. */
  List<ProgramState> tree() {
    List<ProgramState> all = new ArrayList<>();
    all.add(this);
    for (ProgramState child : children) {
      all.addAll(child.tree());
    }
    return all;
  }
}
