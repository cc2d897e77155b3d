package org.baykeel.gateway.peer;

import java.util.List;
import java.util.Optional;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.tenancy.ConfigurationProof;
import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.tenancy.TenantId;

/** What nodes tell each other. */
public sealed interface PeerMessage {

  /**
   * The sender has started and wants to hear of others' findings.
   *
   * @param zone where it is; empty if it did not say
   */
  record NodeAnnouncement(String zone) implements PeerMessage {}

  /**
   * Requests of the sender have just failed in a row at an engine.
   *
   * @param engineId the engine
   */
  record EngineSuspicion(EngineId engineId) implements PeerMessage {}

  /**
   * What engines told the sender of their load.
   *
   * @param engines one entry each
   */
  record EngineLoadNotice(List<ReportedLoad> engines) implements PeerMessage {
    public EngineLoadNotice {
      engines = List.copyOf(engines);
    }
  }

  /**
   * What one engine told of its load.
   *
   * @param engineId the engine
   * @param ageMillis how old that was when the notice was sent
   * @param startMillis when this life of the engine began, by the engine's clock; 0 if it did not
   *     say
   * @param load its load
   */
  record ReportedLoad(EngineId engineId, long ageMillis, long startMillis, EngineLoad load) {}

  /**
   * The sender serves a program now.
   *
   * @param program the program
   */
  record HolderAnnouncement(ProgramId program) implements PeerMessage {}

  /**
   * The sender wants to know which node served a program last.
   *
   * @param queryId chosen by the sender; the reply carries it
   * @param program the program
   */
  record HolderQuery(long queryId, ProgramId program) implements PeerMessage {}

  /**
   * Which node served a program last.
   *
   * @param queryId that of the query
   * @param holder nothing if the sender knows none
   */
  record HolderReply(long queryId, Optional<PeerAddress> holder) implements PeerMessage {}

  /**
   * The sender has a request of a tenant and wants tokens of the tenant's limit.
   *
   * @param correlationId chosen by the sender; the reply carries it
   * @param wanted how many tokens are wanted; one is enough
   * @param firstTurn whether a program begins with the request, as far as the sender knows
   * @param programHash a number of its program; 0 if it has none
   * @param tenant the tenant
   */
  record LimitTokenRequest(
      long correlationId, int wanted, boolean firstTurn, int programHash, TenantId tenant)
      implements PeerMessage {}

  /**
   * What became of a request for tokens.
   *
   * @param correlationId that of the request
   * @param outcome whether tokens were given
   * @param tokens how many
   * @param firstTurnsAllowed whether programs may begin with them
   * @param retryMillis when there will be some; if some were given, when they may be used
   * @param remaining what the bucket still holds
   * @param use what the tenant asked for lately
   * @param proof what proves the sender's configuration, if it has any proof
   */
  record LimitTokenReply(
      long correlationId,
      LimitTokenOutcome outcome,
      int tokens,
      boolean firstTurnsAllowed,
      long retryMillis,
      float remaining,
      LimitUse use,
      Optional<ConfigurationProof> proof)
      implements PeerMessage {

    /** The same reply with a proof of the sender's configuration as of now. */
    public LimitTokenReply withProof(Optional<ConfigurationProof> own) {
      return new LimitTokenReply(
          correlationId, outcome, tokens, firstTurnsAllowed, retryMillis, remaining, use, own);
    }

    /** The reply of a node that does not hold the tenant's bucket. */
    public static LimitTokenReply notHeld(long questionId) {
      return new LimitTokenReply(
          questionId,
          LimitTokenOutcome.NOT_HELD,
          0,
          false,
          0,
          0,
          LimitUse.UNKNOWN,
          Optional.empty());
    }
  }
}
