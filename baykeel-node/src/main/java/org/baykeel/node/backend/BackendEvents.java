package org.baykeel.node.backend;

import java.util.Collection;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.EngineReport;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;

/** Receives what back ends say, on a network thread. */
public interface BackendEvents {
  /** Generated text; the offset counts bytes of the whole answer. */
  void onText(AttemptId id, int offset, Payload text);

  /** The whole answer. */
  void onCompleted(AttemptId id, Payload answer, Usage usage);

  /** The attempt failed. */
  void onFailed(AttemptId id, AttemptFailure failure);

  /** An engine holds nothing of a program any more. */
  void onCacheReleased(String engine, String programId);

  /** An engine's load. */
  void onReport(EngineReport report);

  /** The programs that an engine caches. */
  void onInventory(String engine, Collection<String> programIds);
}
