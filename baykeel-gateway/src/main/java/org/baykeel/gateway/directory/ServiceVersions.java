package org.baykeel.gateway.directory;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * The software versions of the engines of each service, as far as this node has seen them: those of
 * the known engines, and those that engines had before they left or restarted.
 */
public final class ServiceVersions {
  private final Function<String, List<Engine>> enginesOfService;
  private final Map<String, Map<SoftwareVersion, Long>> departedNanos = new HashMap<>();
  private Runnable listener = () -> {};
  private boolean listed;
  private long completeSinceNanos;

  /**
   * Creates a history that has seen no engine.
   *
   * @param enginesOfService returns the known engines of a service
   */
  ServiceVersions(Function<String, List<Engine>> enginesOfService) {
    this.enginesOfService = enginesOfService;
  }

  /** Sets a listener that runs after {@link #only} may have become empty for a service. */
  public void onChange(Runnable newListener) {
    listener = newListener;
  }

  /**
   * Records that engines may have come and gone unseen before now, and that all engines are known
   * now.
   */
  void gap(long nowNanos) {
    listed = true;
    completeSinceNanos = nowNanos;
    listener.run();
  }

  /** Records that an engine with a version that the service may not have had was added. */
  void added() {
    listener.run();
  }

  /** Records that an engine no longer has the version of a record. */
  void departed(EngineRecord record, long nowNanos) {
    record
        .softwareVersion()
        .ifPresent(
            version ->
                departedNanos
                    .computeIfAbsent(record.service(), service -> new HashMap<>())
                    .put(version, nowNanos));
  }

  /**
   * Returns the only version that engines of a service have had during a time until now.
   *
   * @param windowNanos the length of that time
   * @return the version; empty if there was more than one or none, if the version of an engine is
   *     not known, or if this node has not seen all engines during that time
   */
  public Optional<SoftwareVersion> only(String service, long windowNanos, long nowNanos) {
    if (!listed || nowNanos - completeSinceNanos < windowNanos) {
      return Optional.empty();
    }
    Set<SoftwareVersion> versions = seen(service, windowNanos, nowNanos);
    boolean allKnown =
        enginesOfService.apply(service).stream()
            .allMatch(engine -> engine.record().softwareVersion().isPresent());
    return allKnown && versions.size() == 1
        ? Optional.of(versions.iterator().next())
        : Optional.empty();
  }

  /** Returns the versions that this node saw engines of a service have during a time until now. */
  public Set<SoftwareVersion> seen(String service, long windowNanos, long nowNanos) {
    Set<SoftwareVersion> versions = new HashSet<>();
    for (Engine engine : enginesOfService.apply(service)) {
      engine.record().softwareVersion().ifPresent(versions::add);
    }
    Map<SoftwareVersion, Long> departed = departedNanos.getOrDefault(service, Map.of());
    departed.values().removeIf(nanos -> nowNanos - nanos > windowNanos);
    versions.addAll(departed.keySet());
    return versions;
  }
}
