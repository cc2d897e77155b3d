package org.baykeel.core.program;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.baykeel.core.configuration.Declarations.ProgramClass;
import org.baykeel.core.configuration.Declarations.Tenant;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.CallerReply;
import org.baykeel.core.message.CallerRequest;
import org.baykeel.core.message.LogRecord.ProgramCreated;
import org.baykeel.core.message.LogRecord.ProgramEnded;
import org.baykeel.core.message.LogRecord.ProgramForgotten;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;

/** Creation, description, idle end and forgetting of programs. */
final class ProgramLifecycle {
  private final CoordinatorContext context;
  private final ProgramShard shard;
  private final CoordinatorSettings settings;
  private final CoordinatorOutput output;
  private final RefusalBarrier barrier;
  private final Map<String, List<CallerOrigin>> creating = new HashMap<>();

  ProgramLifecycle(CoordinatorContext context, RefusalBarrier barrier) {
    this.context = requireNonNull(context, "context");
    this.shard = context.shard();
    this.settings = context.settings();
    this.output = context.output();
    this.barrier = requireNonNull(barrier, "barrier");
  }

  /** Creates a program, or tells of the one that the same request has created before. */
  void create(CallerRequest request, CallerOrigin origin, long nowMillis) {
    ProgramState existing = shard.program(request.programId());
    if (existing != null) {
      replyToRepeatedCreation(existing, request, origin);
      return;
    }
    CallerReply.Failed refusal = refusalOfCreation(request);
    if (refusal != null) {
      barrier.confirmAndReply(origin, refusal);
      return;
    }
    List<CallerOrigin> waiting = creating.get(request.programId());
    if (waiting != null) {
      waiting.add(origin);
      return;
    }
    ProgramClass programClass = context.configuration().get().programClass(request.target());
    ProgramState parent = shard.program(request.operation());
    long budget = programClass.budget();
    if (parent != null) {
      budget = Math.min(budget, parent.created().budget());
    }
    ProgramCreated record =
        new ProgramCreated(
            request.programId(),
            request.tenant(),
            request.target(),
            request.operation(),
            request.idempotencyKey(),
            budget,
            programClass.turnLimit(),
            nowMillis);
    if (output.propose(record) < 0) {
      output.reply(origin, new CallerReply.NotLeader());
      return;
    }
    creating.put(request.programId(), new ArrayList<>(List.of(origin)));
  }

  private void replyToRepeatedCreation(
      ProgramState existing, CallerRequest request, CallerOrigin origin) {
    boolean same =
        existing.created().tenant().equals(request.tenant())
            && existing.created().programClass().equals(request.target())
            && existing.created().parentId().equals(request.operation());
    if (same) {
      output.reply(origin, description(existing));
    } else {
      barrier.confirmAndReply(origin, CallAdmission.failed(ErrorKind.KEY_REUSED, 0));
    }
  }

  private CallerReply.Failed refusalOfCreation(CallerRequest request) {
    if (context.configuration().get().programClass(request.target()) == null) {
      return CallAdmission.failed(ErrorKind.UNKNOWN_TARGET, 0);
    }
    String parentId = request.operation();
    ProgramState parent = shard.program(parentId);
    if (!parentId.isEmpty()) {
      if (parent == null || !parent.created().tenant().equals(request.tenant())) {
        return CallAdmission.failed(ErrorKind.UNKNOWN_PROGRAM, 0);
      }
      return parent.ended() == null ? null : CallAdmission.failed(ErrorKind.PROGRAM_ENDED, 0);
    }
    Tenant tenant = context.configuration().get().tenant(request.tenant());
    long underWay =
        shard.programs().stream()
            .filter(program -> program.ended() == null)
            .filter(program -> program.created().tenant().equals(request.tenant()))
            .count();
    boolean full = tenant == null || underWay >= tenant.maximumPrograms();
    return full
        ? CallAdmission.failed(ErrorKind.TOO_MANY_PROGRAMS, context.scheduler().retryAfterMillis())
        : null;
  }

  /** Tells a caller about its program, as of now. */
  void describe(CallerRequest request, CallerOrigin origin) {
    ProgramState program = shard.programOf(request.tenant(), request.programId());
    CallerReply reply =
        program == null ? CallAdmission.failed(ErrorKind.UNKNOWN_PROGRAM, 0) : description(program);
    barrier.confirmAndReply(origin, reply);
  }

  /** The description of a program as an answer. */
  static CallerReply.Completed description(ProgramState program) {
    Payload text = ProgramDescription.of(program);
    return new CallerReply.Completed(text, Usage.NONE, program.spent());
  }

  /** A creation was committed. */
  void onCreated(ProgramCreated record) {
    List<CallerOrigin> origins = creating.remove(record.programId());
    ProgramState program = shard.program(record.programId());
    if (origins != null) {
      CallerReply reply =
          program == null ? CallAdmission.failed(ErrorKind.PROGRAM_ENDED, 0) : description(program);
      origins.forEach(origin -> output.reply(origin, reply));
    }
  }

  /**
   * Ends programs that nobody uses and forgets ended ones after their retention.
   *
   * @param busy tells whether a program has requests under way
   */
  void tick(Predicate<String> busy, long nowMillis) {
    for (ProgramState program : new ArrayList<>(shard.programs())) {
      if (program.parent() != null || busy.test(program.created().programId())) {
        continue;
      }
      if (program.ended() == null) {
        if (nowMillis - lastActivityMillis(program) > settings.idleLimitMillis()) {
          output.propose(new ProgramEnded(program.created().programId(), nowMillis));
        }
      } else if (isForgettable(program, nowMillis)) {
        output.propose(new ProgramForgotten(program.created().programId()));
      }
    }
  }

  private static long lastActivityMillis(ProgramState program) {
    long latest = program.created().createdAtMillis();
    for (ProgramState member : program.tree()) {
      List<CallState> calls = member.calls();
      if (!calls.isEmpty()) {
        latest = Math.max(latest, calls.get(calls.size() - 1).latest().dispatchedAtMillis());
      }
    }
    return latest;
  }

  private boolean isForgettable(ProgramState program, long nowMillis) {
    boolean released =
        program.tree().stream()
            .allMatch(
                member -> member.enginesHoldingCache().isEmpty() && member.openCall() == null);
    return released && nowMillis - program.ended().endedAtMillis() > settings.retentionMillis();
  }

  /** Leadership is lost: takes out those who wait for a creation. */
  List<CallerOrigin> drain() {
    List<CallerOrigin> origins = new ArrayList<>();
    creating.values().forEach(origins::addAll);
    creating.clear();
    return origins;
  }
}
