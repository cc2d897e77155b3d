package org.baykeel.gateway.resumption;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baykeel.gateway.directory.SoftwareVersion;
import org.baykeel.gateway.peer.PeerMessage;

/**
 * The software versions of recent streams, both of those that began at this node and of those that
 * peers sent. Records expire after a time; beyond a number the oldest are evicted.
 */
final class StreamVersionRecords {
  private static final int MAX_RECORDS = 32_768;

  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /** A stream. */
  private static final class Entry {
    private final String service;
    private final SoftwareVersion version;
    private final long recordedNanos;

    private final boolean own;

    /** Whether other nodes are still to be notified if the version becomes ambiguous. */
    private boolean unsent;

    private boolean complete;

    Entry(String service, SoftwareVersion version, long recordedNanos, boolean own) {
      this.service = service;
      this.version = version;
      this.recordedNanos = recordedNanos;
      this.own = own;
      this.unsent = own;
    }
  }

  /**
   * A stream that began at this node and that peers do not know of.
   *
   * @param requestId the request whose response brought its first event
   */
  record Unsent(String requestId, String service, SoftwareVersion version) {}

  /** Records a stream that began at this node and that no peer knows of yet. */
  void addOwn(String requestId, String service, SoftwareVersion version, long nowNanos) {
    entries.put(requestId, new Entry(service, version, nowNanos, true));
  }

  /** Records a stream of a peer, or one whose version a peer gave. */
  void addFromPeer(String requestId, SoftwareVersion version, long nowNanos) {
    entries.putIfAbsent(requestId, new Entry("", version, nowNanos, false));
  }

  /** Records that peers need not be notified of a stream any more. */
  void markSent(String requestId) {
    Entry entry = entries.get(requestId);
    if (entry != null) {
      entry.unsent = false;
    }
  }

  /** Records that a stream is complete. */
  void markComplete(String requestId) {
    Entry entry = entries.get(requestId);
    if (entry != null) {
      entry.complete = true;
      entry.unsent = false;
    }
  }

  /** Returns the streams that began at this node, of which peers know, and that may go on. */
  List<PeerMessage.StreamVersion> ownInProgress() {
    List<PeerMessage.StreamVersion> streams = new ArrayList<>();
    entries.forEach(
        (requestId, entry) -> {
          if (entry.own && !entry.unsent && !entry.complete) {
            streams.add(new PeerMessage.StreamVersion(requestId, entry.version));
          }
        });
    return streams;
  }

  /** Returns the version of a stream recorded within a time until now. */
  Optional<SoftwareVersion> find(String requestId, long windowNanos, long nowNanos) {
    return Optional.ofNullable(entries.get(requestId))
        .filter(entry -> nowNanos - entry.recordedNanos <= windowNanos)
        .map(entry -> entry.version);
  }

  /** Returns the streams that peers do not know of. */
  List<Unsent> unsent() {
    List<Unsent> unsent = new ArrayList<>();
    entries.forEach(
        (requestId, entry) -> {
          if (entry.unsent) {
            unsent.add(new Unsent(requestId, entry.service, entry.version));
          }
        });
    return unsent;
  }

  /** Removes the records that are older than a time, and the oldest ones beyond the limit. */
  void evict(long windowNanos, long nowNanos) {
    Iterator<Entry> oldestFirst = entries.values().iterator();
    while (oldestFirst.hasNext()) {
      boolean expired = nowNanos - oldestFirst.next().recordedNanos > windowNanos;
      if (!expired && entries.size() <= MAX_RECORDS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  int size() {
    return entries.size();
  }
}
