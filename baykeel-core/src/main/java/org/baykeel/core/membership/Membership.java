package org.baykeel.core.membership;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.MemberStatus;
import org.baykeel.core.message.MemberUpdate;
import org.baykeel.core.message.NodeAddress;
import org.baykeel.core.message.PeerMessage.Probe;
import org.baykeel.core.message.PeerMessage.ProbeKind;

/**
 * Failure detection and membership by probes and gossip (after SWIM, Das et al. 2002).
 *
 * <p>A member's status is a belief, never a proof: leadership and votes do not depend on it. Only a
 * higher incarnation of the same node proves that an earlier one is gone.
 */
public final class Membership {
  /** An address where a first contact may be found. */
  public record Seed(String host, int port) {}

  private static final int JOIN_INTERVAL_MILLIS = 1_000;
  private static final int RECONNECT_INTERVAL_MILLIS = 3_000;

  private final MembershipSettings settings;
  private final MembershipOutput output;
  private final SplittableRandom random;
  private final List<Seed> seeds;
  private final Map<Integer, MemberUpdate> members = new TreeMap<>();
  private final Map<Integer, Long> suspectedSince = new HashMap<>();
  private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
  private final GossipQueue gossip = new GossipQueue();
  private final List<Integer> probeOrder = new ArrayList<>();

  private MemberUpdate self;
  private List<MemberUpdate> activeMembers;
  private long changes;
  private long nextSequence = 1;
  private long nextProbeMillis;
  private long nextJoinMillis;
  private long nextReconnectMillis;
  private long nextSynchronizationMillis;
  private MemberId probed = MemberId.NONE;
  private long probeSequence;
  private boolean probeAnswered = true;
  private boolean indirectSent;
  private long probeStartedMillis;
  private long falseSuspicions;

  /** A probe that this member sends on another's behalf. */
  private record RelayedProbe(MemberId requester, long requesterSequence, long expiresMillis) {}

  public Membership(
      MemberId selfId,
      NodeAddress address,
      List<Seed> seeds,
      MembershipSettings settings,
      MembershipOutput output,
      SplittableRandom random,
      long nowMillis) {
    this.settings = requireNonNull(settings, "settings");
    this.output = requireNonNull(output, "output");
    this.random = requireNonNull(random, "random");
    this.seeds = List.copyOf(seeds);
    this.self = new MemberUpdate(selfId, 0, MemberStatus.ALIVE, address);
    put(self);
    gossip.add(self);
    nextProbeMillis = nowMillis + random.nextInt(settings.probeIntervalMillis());
    nextSynchronizationMillis = nowMillis + random.nextInt(settings.synchronizationMillis());
    nextReconnectMillis = nowMillis + random.nextInt(RECONNECT_INTERVAL_MILLIS);
    nextJoinMillis = nowMillis;
  }

  /** What is believed of every known node, by node number. */
  public Collection<MemberUpdate> members() {
    return Collections.unmodifiableCollection(members.values());
  }

  /** What is believed of a node, or null. */
  public MemberUpdate member(int nodeId) {
    return members.get(nodeId);
  }

  /** This member's own statement. */
  public MemberUpdate self() {
    return self;
  }

  /** True if the very incarnation is believed to run; a suspect still counts. */
  public boolean isRunning(MemberId id) {
    MemberUpdate update = members.get(id.nodeId());
    return update != null && update.id().equals(id) && update.status() != MemberStatus.DEAD;
  }

  /** True if a later incarnation proves that this one is gone. */
  public boolean isSuperseded(MemberId id) {
    MemberUpdate update = members.get(id.nodeId());
    return update != null && update.id().supersedes(id);
  }

  /** The members believed to run and not leaving, this one included. */
  public List<MemberUpdate> activeMembers() {
    if (activeMembers == null) {
      activeMembers = members.values().stream().filter(Membership::isActive).toList();
    }
    return activeMembers;
  }

  private static boolean isActive(MemberUpdate update) {
    return update.status() == MemberStatus.ALIVE || update.status() == MemberStatus.SUSPECT;
  }

  /** Rises with every change of what is believed of any member. */
  public long changes() {
    return changes;
  }

  private void put(MemberUpdate update) {
    members.put(update.id().nodeId(), update);
    activeMembers = null;
    changes++;
  }

  /** How often this member had to refute a suspicion of itself. */
  public long falseSuspicions() {
    return falseSuspicions;
  }

  /** Announces that this member is about to stop. */
  public void leave() {
    replaceSelf(new MemberUpdate(self.id(), self.refutation(), MemberStatus.LEAVING, address()));
  }

  private NodeAddress address() {
    return self.address();
  }

  private void replaceSelf(MemberUpdate update) {
    self = update;
    put(update);
    gossip.add(update);
  }

  /** Sends a member a probe whose answer nobody waits for, to learn what its header says. */
  public void inquire(MemberId member) {
    output.send(member, gossipProbe(ProbeKind.PING, nextSequence++, member));
  }

  /** Lets time pass. */
  public void tick(long nowMillis) {
    join(nowMillis);
    reconnect(nowMillis);
    synchronize(nowMillis);
    continueProbe(nowMillis);
    expireSuspicions(nowMillis);
    if (nowMillis >= nextProbeMillis) {
      finishProbe(nowMillis);
      startProbe(nowMillis);
      nextProbeMillis = nowMillis + settings.probeIntervalMillis();
    }
  }

  /** Asks the seeds for the member list until another member is known. */
  private void join(long nowMillis) {
    if (members.size() > 1 || nowMillis < nextJoinMillis) {
      return;
    }
    nextJoinMillis = nowMillis + JOIN_INTERVAL_MILLIS;
    for (Seed seed : seeds) {
      if (!isOwnAddress(seed)) {
        output.sendToAddress(seed.host(), seed.port(), ownStatement(ProbeKind.JOIN));
      }
    }
  }

  private boolean isOwnAddress(Seed seed) {
    return seed.host().equals(address().host()) && seed.port() == address().peerPort();
  }

  private Probe ownStatement(ProbeKind kind) {
    return probe(kind, nextSequence++, self.id(), List.of(self));
  }

  /** Tries one member believed dead, and one seed: a cut that has healed must be noticed. */
  private void reconnect(long nowMillis) {
    if (nowMillis < nextReconnectMillis) {
      return;
    }
    nextReconnectMillis = nowMillis + RECONNECT_INTERVAL_MILLIS;
    List<MemberUpdate> dead = new ArrayList<>();
    for (MemberUpdate update : members.values()) {
      if (update.status() == MemberStatus.DEAD) {
        dead.add(update);
      }
    }
    if (!dead.isEmpty()) {
      MemberUpdate target = dead.get(random.nextInt(dead.size()));
      // The belief goes along, so that the member can refute it if it lives.
      List<MemberUpdate> statements = List.of(self, target);
      output.sendToAddress(
          target.address().host(),
          target.address().peerPort(),
          probe(ProbeKind.JOIN, nextSequence++, self.id(), statements));
    }
  }

  private void synchronize(long nowMillis) {
    if (nowMillis < nextSynchronizationMillis) {
      return;
    }
    nextSynchronizationMillis = nowMillis + settings.synchronizationMillis();
    MemberId partner = randomOther(MemberId.NONE);
    if (partner != MemberId.NONE) {
      output.send(partner, ownStatement(ProbeKind.JOIN));
    }
  }

  private void startProbe(long nowMillis) {
    probed = nextToProbe();
    if (probed == MemberId.NONE) {
      probeAnswered = true;
      return;
    }
    probeSequence = nextSequence++;
    probeAnswered = false;
    indirectSent = false;
    probeStartedMillis = nowMillis;
    output.send(probed, gossipProbe(ProbeKind.PING, probeSequence, probed));
  }

  /** Walks through all members in random order, so that each is probed within one round. */
  private MemberId nextToProbe() {
    while (true) {
      if (probeOrder.isEmpty()) {
        refillProbeOrder();
        if (probeOrder.isEmpty()) {
          return MemberId.NONE;
        }
      }
      MemberUpdate candidate = members.get(probeOrder.remove(probeOrder.size() - 1));
      if (candidate != null && candidate.status() != MemberStatus.DEAD) {
        return candidate.id();
      }
    }
  }

  private void refillProbeOrder() {
    for (MemberUpdate update : members.values()) {
      if (update.status() != MemberStatus.DEAD && !update.id().equals(self.id())) {
        probeOrder.add(update.id().nodeId());
      }
    }
    for (int i = probeOrder.size() - 1; i > 0; i--) {
      Collections.swap(probeOrder, i, random.nextInt(i + 1));
    }
  }

  private void continueProbe(long nowMillis) {
    boolean late = nowMillis - probeStartedMillis >= settings.probeTimeoutMillis();
    if (probeAnswered || indirectSent || !late) {
      return;
    }
    indirectSent = true;
    for (int i = 0; i < settings.indirectProbes(); i++) {
      MemberId helper = randomOther(probed);
      if (helper != MemberId.NONE) {
        output.send(helper, gossipProbe(ProbeKind.PING_REQUEST, probeSequence, probed));
      }
    }
  }

  private MemberId randomOther(MemberId excluded) {
    List<MemberId> candidates = new ArrayList<>();
    for (MemberUpdate update : members.values()) {
      boolean eligible = !update.id().equals(self.id()) && !update.id().equals(excluded);
      if (eligible && update.status() == MemberStatus.ALIVE) {
        candidates.add(update.id());
      }
    }
    return candidates.isEmpty() ? MemberId.NONE : candidates.get(random.nextInt(candidates.size()));
  }

  private void finishProbe(long nowMillis) {
    if (!probeAnswered && probed != MemberId.NONE) {
      suspect(probed, nowMillis);
    }
    relayedProbes.values().removeIf(relay -> relay.expiresMillis() <= nowMillis);
  }

  /** Suspects a member, after a probe without answer or on the word of the platform's list. */
  public void suspect(MemberId id, long nowMillis) {
    MemberUpdate update = members.get(id.nodeId());
    if (update == null || !update.id().equals(id) || id.equals(self.id())) {
      return;
    }
    if (update.status() == MemberStatus.ALIVE) {
      merge(update.withStatus(MemberStatus.SUSPECT), nowMillis);
    } else if (update.status() == MemberStatus.LEAVING) {
      suspectedSince.putIfAbsent(id.nodeId(), nowMillis);
    }
  }

  private void expireSuspicions(long nowMillis) {
    List<MemberUpdate> expired = new ArrayList<>();
    for (Map.Entry<Integer, Long> entry : suspectedSince.entrySet()) {
      if (nowMillis - entry.getValue() >= settings.suspicionMillis()) {
        expired.add(members.get(entry.getKey()));
      }
    }
    for (MemberUpdate update : expired) {
      merge(update.withStatus(MemberStatus.DEAD), nowMillis);
    }
  }

  /** Handles a probe of any kind. */
  public void onProbe(MemberId from, Probe message, long nowMillis) {
    for (MemberUpdate update : message.updates()) {
      merge(update, nowMillis);
    }
    switch (message.kind()) {
      case PING ->
          output.send(from, gossipProbe(ProbeKind.ACKNOWLEDGE, message.sequence(), self.id()));
      case ACKNOWLEDGE -> onAcknowledge(from, message, nowMillis);
      case PING_REQUEST -> relay(from, message, nowMillis);
      case JOIN ->
          output.send(
              from,
              probe(
                  ProbeKind.JOIN_REPLY,
                  message.sequence(),
                  self.id(),
                  List.copyOf(members.values())));
      case JOIN_REPLY -> {
        // The updates, merged above, are all that it carries.
      }
      default -> throw new IllegalStateException("unknown probe " + message.kind());
    }
  }

  private void relay(MemberId from, Probe message, long nowMillis) {
    long sequence = nextSequence++;
    long expires = nowMillis + settings.probeIntervalMillis();
    relayedProbes.put(sequence, new RelayedProbe(from, message.sequence(), expires));
    output.send(message.subject(), gossipProbe(ProbeKind.PING, sequence, message.subject()));
  }

  private void onAcknowledge(MemberId from, Probe message, long nowMillis) {
    RelayedProbe relayed = relayedProbes.remove(message.sequence());
    if (relayed != null) {
      output.send(
          relayed.requester(),
          gossipProbe(ProbeKind.ACKNOWLEDGE, relayed.requesterSequence(), message.subject()));
      return;
    }
    if (message.sequence() == probeSequence && message.subject().equals(probed)) {
      probeAnswered = true;
    }
    // A leaving member that answers after all is not dead yet.
    MemberUpdate update = members.get(from.nodeId());
    if (update != null && update.status() == MemberStatus.LEAVING) {
      suspectedSince.remove(from.nodeId());
    }
  }

  private Probe gossipProbe(ProbeKind kind, long sequence, MemberId subject) {
    return probe(
        kind, sequence, subject, gossip.take(settings.updatesPerMessage(), members.size()));
  }

  private Probe probe(ProbeKind kind, long sequence, MemberId subject, List<MemberUpdate> updates) {
    return new Probe(
        kind,
        sequence,
        subject,
        output.configurationVersion(),
        output.routesDigest(),
        output.replicas(),
        updates);
  }

  /** Takes in a statement if it is newer than what is believed. */
  private void merge(MemberUpdate update, long nowMillis) {
    if (update.id().nodeId() == self.id().nodeId()) {
      refute(update);
      return;
    }
    int nodeId = update.id().nodeId();
    MemberUpdate previous = members.get(nodeId);
    if (previous != null && !isNewer(update, previous)) {
      return;
    }
    put(update);
    gossip.add(update);
    if (update.status() == MemberStatus.SUSPECT) {
      suspectedSince.put(nodeId, nowMillis);
    } else {
      suspectedSince.remove(nodeId);
    }
    output.memberChanged(previous, update);
  }

  private static boolean isNewer(MemberUpdate update, MemberUpdate previous) {
    if (!update.id().equals(previous.id())) {
      return update.id().supersedes(previous.id());
    }
    if (update.refutation() != previous.refutation()) {
      return update.refutation() > previous.refutation();
    }
    return update.status().compareTo(previous.status()) > 0;
  }

  private void refute(MemberUpdate update) {
    boolean aboutThisLife = update.id().equals(self.id());
    boolean contradicts = update.status().compareTo(self.status()) > 0;
    if (aboutThisLife && contradicts && update.refutation() >= self.refutation()) {
      falseSuspicions++;
      replaceSelf(
          new MemberUpdate(self.id(), update.refutation() + 1, self.status(), self.address()));
    }
  }
}
