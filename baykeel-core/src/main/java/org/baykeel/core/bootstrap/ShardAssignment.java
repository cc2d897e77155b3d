package org.baykeel.core.bootstrap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.Payload;

/**
 * The replica groups as they were created, kept in the table service. Members change afterwards
 * without the store, so the lists tell who to ask at first, not who belongs to a group now.
 *
 * @param generation rises when groups are created anew after a loss of all nodes
 * @param shards the first members of each shard's group, by shard number
 */
public record ShardAssignment(int generation, List<List<MemberId>> shards) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  public ShardAssignment {
    shards = shards.stream().map(List::copyOf).toList();
  }

  /** The assignment as JSON. */
  public Payload encode() {
    try {
      return Payload.wrap(MAPPER.writeValueAsBytes(this));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an assignment is plain data", e);
    }
  }

  /** Reads an assignment. */
  public static ShardAssignment decode(Payload value) {
    try {
      return MAPPER.readValue(value.array(), ShardAssignment.class);
    } catch (IOException e) {
      throw new BaykeelException(ErrorKind.INTERNAL, "the shard assignment cannot be read");
    }
  }
}
