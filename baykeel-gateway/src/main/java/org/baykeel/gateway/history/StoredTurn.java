package org.baykeel.gateway.history;

import java.util.ArrayList;
import java.util.List;

/**
 * A turn whose response was completed.
 *
 * @param id the identifier of its request
 * @param ancestors the turns that it continues, oldest first
 * @param input the body that the caller sent
 * @param output the data of its events, each followed by a line feed
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredTurn(String id, List<String> ancestors, byte[] input, byte[] output) {

  public StoredTurn {
    ancestors = List.copyOf(ancestors);
  }

  /** Returns the identifiers of this turn and of all turns that it continues, oldest first. */
  public List<String> chain() {
    List<String> chain = new ArrayList<>(ancestors);
    chain.add(id);
    return chain;
  }

  int bytes() {
    return input.length + output.length;
  }
}
