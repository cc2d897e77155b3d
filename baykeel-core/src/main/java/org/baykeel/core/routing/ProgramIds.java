package org.baykeel.core.routing;

import java.util.HexFormat;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.baykeel.core.message.Payload;

/**
 * Program ids carry their shard, so any node can route a call without a look-up, and a sub-agent is
 * placed in its parent's shard.
 */
public final class ProgramIds {
  private static final Pattern FORM = Pattern.compile("p([0-9a-f]{1,6})-([0-9a-f]{8,32})");
  private static final int UNIQUE_BYTES = 12;

  private ProgramIds() {}

  /** An id in a shard, unique by its seed text. */
  public static String create(int shard, String seed) {
    byte[] digest = Payload.of(seed).sha256().array();
    String unique = HexFormat.of().formatHex(digest, 0, UNIQUE_BYTES);
    return "p" + Integer.toHexString(shard) + "-" + unique;
  }

  /** The shard for a new root program, spread evenly by its seed text. */
  public static int shardFor(String seed, int shardCount) {
    byte[] digest = Payload.of("shard\n" + seed).sha256().array();
    int hash = (digest[0] & 0xFF) << 16 | (digest[1] & 0xFF) << 8 | digest[2] & 0xFF;
    return hash % shardCount;
  }

  /** The shard of a program id, or -1 if it is no program id of this installation. */
  public static int shardOf(String programId, int shardCount) {
    Matcher matcher = FORM.matcher(programId);
    if (!matcher.matches()) {
      return -1;
    }
    int shard = Integer.parseInt(matcher.group(1), 16);
    return shard < shardCount ? shard : -1;
  }
}
