package org.baykeel.gateway.peer;

import java.util.List;
import java.util.Optional;
import org.baykeel.gateway.directory.EngineId;
import org.baykeel.gateway.directory.EngineIncarnation;
import org.baykeel.gateway.directory.EngineLoad;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.program.ProgramId;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.tenancy.ConfigurationProof;
import org.baykeel.gateway.tenancy.LimitUse;
import org.baykeel.gateway.tenancy.TenantId;

/** A message that one node sends to another in a datagram. */
public sealed interface PeerMessage {

  /**
   * Announces that the sender has started, so that peers send it their notices.
   *
   * @param zone the zone of the sender; empty if the sender's version does not send one
   */
  record NodeAnnouncement(String zone) implements PeerMessage {}

  /**
   * Notifies a peer that an engine has become suspect at the sender after several failed requests
   * in a row.
   *
   * @param engineId the engine
   */
  record EngineSuspicion(EngineId engineId) implements PeerMessage {}

  /**
   * Passes on load reports that engines returned to the sender.
   *
   * @param engines one entry per engine
   */
  record EngineLoadNotice(List<ReportedLoad> engines) implements PeerMessage {
    public EngineLoadNotice {
      engines = List.copyOf(engines);
    }
  }

  /**
   * The load report of one engine.
   *
   * @param engineId the engine
   * @param ageMillis the age of the report when the notice was sent, in milliseconds
   * @param startMillis the start time of the engine's incarnation in milliseconds, by the engine's
   *     clock; 0 if the engine does not report it
   * @param load the reported load
   */
  record ReportedLoad(EngineId engineId, long ageMillis, long startMillis, EngineLoad load) {}

  /**
   * Passes on at which software versions streams began at the sender.
   *
   * @param streams one entry per stream
   */
  record StreamVersionNotice(List<StreamVersion> streams) implements PeerMessage {
    public StreamVersionNotice {
      streams = List.copyOf(streams);
    }
  }

  /**
   * The software version at which a stream began.
   *
   * @param requestId the request whose response brought the first event
   * @param version the version of the engine that produced it
   */
  record StreamVersion(String requestId, SoftwareVersion version) {}

  /**
   * Queries the software version at which a stream began.
   *
   * @param queryId chosen by the sender; the reply repeats it
   * @param requestId the request whose response brought the first event
   * @param service the service that is to continue the stream
   */
  record StreamVersionQuery(long queryId, String requestId, String service)
      implements PeerMessage {}

  /**
   * Replies to a {@link StreamVersionQuery}.
   *
   * @param queryId the identifier of the query
   * @param evidence how the sender knows the version
   * @param version the version; {@link SoftwareVersion#UNSTATED} without evidence
   */
  record StreamVersionReply(long queryId, StreamVersionEvidence evidence, SoftwareVersion version)
      implements PeerMessage {}

  /**
   * Reports that an engine ended while it ran requests of the sender.
   *
   * @param engine the engine
   * @param ageMillis the time since its end when the notice was sent, in milliseconds
   * @param requests the requests, at most {@link EngineEndCodec#MAX_REQUESTS}
   */
  record EngineEndNotice(
      EngineIncarnation engine, long ageMillis, List<RequestFingerprint> requests)
      implements PeerMessage {
    public EngineEndNotice {
      requests = List.copyOf(requests);
    }
  }

  /**
   * Reports that an engine that was reported as ended has responded to the sender.
   *
   * @param engine the engine
   * @param ageMillis the time since it responded when the message was sent, in milliseconds
   */
  record EngineEndWithdrawal(EngineIncarnation engine, long ageMillis) implements PeerMessage {}

  /**
   * Reports that requests that were running at engines that ended have completed at others.
   *
   * @param requests the requests, at most {@link EngineEndCodec#MAX_REQUESTS}
   * @param ageMillis the time since the first of them completed when the message was sent, in
   *     milliseconds
   */
  record RequestClearance(List<RequestFingerprint> requests, long ageMillis)
      implements PeerMessage {
    public RequestClearance {
      requests = List.copyOf(requests);
    }
  }

  /**
   * Announces a run of a request at an engine on behalf of the sender. A later notice of the same
   * run replaces an earlier one.
   *
   * @param runId identifies the run among those of the sender
   * @param engine the engine; that of {@link EngineIncarnation#NONE} until one is selected
   * @param phase what the sender knows of the run
   * @param ageMillis the time since the run began when the notice was sent, in milliseconds
   * @param remainingMillis the time for which the notice holds, in milliseconds
   */
  record EngineRunNotice(
      long runId,
      RequestFingerprint request,
      EngineIncarnation engine,
      RunPhase phase,
      long ageMillis,
      long remainingMillis)
      implements PeerMessage {}

  /**
   * Queries what the receiver knows of a run; it replies with an {@link EngineRunNotice}, or not at
   * all if it does not know the run.
   *
   * @param runId identifies the run
   */
  record EngineRunQuery(long runId) implements PeerMessage {}

  /**
   * Asks for a {@link ReachabilityReply}, so that the sender knows that datagrams pass both ways.
   *
   * @param probeId chosen by the sender; the reply repeats it
   * @param evidenceDigest equal at nodes that know the same ends
   */
  record ReachabilityProbe(long probeId, long evidenceDigest) implements PeerMessage {}

  /**
   * Replies to a {@link ReachabilityProbe}.
   *
   * @param probeId the identifier of the probe
   * @param evidenceDigest the digest of the node that replies
   */
  record ReachabilityReply(long probeId, long evidenceDigest) implements PeerMessage {}

  /**
   * Announces that the sender now serves a program.
   *
   * @param program the program
   */
  record HolderAnnouncement(ProgramId program) implements PeerMessage {}

  /**
   * Queries which node served a program last.
   *
   * @param queryId chosen by the sender; the reply repeats it
   * @param program the program
   */
  record HolderQuery(long queryId, ProgramId program) implements PeerMessage {}

  /**
   * Replies to a {@link HolderQuery}.
   *
   * @param queryId the identifier of the query
   * @param holder the node that served the program last, or empty if the sender knows of none
   */
  record HolderReply(long queryId, Optional<PeerAddress> holder) implements PeerMessage {}

  /**
   * Requests tokens of a tenant's rate limit for a call of that tenant.
   *
   * @param correlationId chosen by the sender; the reply repeats it
   * @param wanted the most tokens that the sender can use; one is enough
   * @param firstTurn whether the call starts a program, as far as the sender knows
   * @param programHash a hash of the call's program; 0 if the call has none
   * @param tenant the tenant
   */
  record LimitTokenRequest(
      long correlationId, int wanted, boolean firstTurn, int programHash, TenantId tenant)
      implements PeerMessage {}

  /**
   * Replies to a {@link LimitTokenRequest}.
   *
   * @param correlationId the identifier of the request
   * @param outcome whether tokens were granted
   * @param tokens the number of tokens granted
   * @param firstTurnsAllowed whether the tokens may be used for first turns
   * @param retryMillis the time in milliseconds until tokens are available or, if tokens were
   *     granted, until they may be used
   * @param remaining the tokens that remain in the bucket; negative if tokens are owed
   * @param use the tenant's demand in relation to its limit, as measured by the sender
   * @param proof the proof of the sender's configuration version, if it has one
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

    /** Returns a copy with the given proof of the sender's configuration version, if any. */
    public LimitTokenReply withProof(Optional<ConfigurationProof> own) {
      return new LimitTokenReply(
          correlationId, outcome, tokens, firstTurnsAllowed, retryMillis, remaining, use, own);
    }

    /** Returns the reply of a node that does not hold the tenant's token bucket. */
    public static LimitTokenReply notHeld(long correlationId) {
      return new LimitTokenReply(
          correlationId,
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
