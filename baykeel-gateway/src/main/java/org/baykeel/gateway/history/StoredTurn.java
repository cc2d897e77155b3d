package org.baykeel.gateway.history;

import java.util.ArrayList;
import java.util.List;

/**
 * A turn whose answer was given whole.
 *
 * @param id the identifier of its request
 * @param ancestors the turns it continues, oldest first
 * @param input what the caller sent
 * @param output the data of its events, a line feed after each
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredTurn(String id, List<String> ancestors, byte[] input, byte[] output) {

  public StoredTurn {
    ancestors = List.copyOf(ancestors);
  }

  /** This turn and all it continues, oldest first. */
  public List<String> chain() {
    List<String> chain = new ArrayList<>(ancestors);
    chain.add(id);
    return chain;
  }

  int bytes() {
    return input.length + output.length;
  }
}
