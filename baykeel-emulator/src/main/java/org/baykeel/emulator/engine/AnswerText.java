package org.baykeel.emulator.engine;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.baykeel.core.message.Payload;

/**
 * The text of emulated answers. Each token has four bytes. The first three tokens carry a digest of
 * the whole prompt, so a replay can tell whether an answer was made from its program's own history;
 * the rest differs from attempt to attempt, so a stream that is put together from two attempts
 * shows.
 */
public final class AnswerText {
  /** Bytes of each token. */
  public static final int TOKEN_BYTES = 4;

  /** Tokens that carry the digest. */
  public static final int DIGEST_TOKENS = 3;

  private static final int DIGEST_HEX_BYTES = 4;
  private static final int LETTERS = 26;
  private static final long MIX = 0x9E3779B97F4A7C15L;
  private static final int MESSAGE_OVERHEAD_TOKENS = 4;

  private AnswerText() {}

  /** The token at a position of an answer. */
  public static String token(String promptDigest, long seed, int position) {
    if (position < DIGEST_TOKENS) {
      String header = header(promptDigest);
      return header.substring(position * TOKEN_BYTES, (position + 1) * TOKEN_BYTES);
    }
    long value = (seed + position) * MIX;
    value ^= value >>> 31;
    char[] letters = new char[TOKEN_BYTES];
    for (int i = 0; i < TOKEN_BYTES - 1; i++) {
      letters[i] = (char) ('a' + Math.floorMod(value >>> (8 * i), LETTERS));
    }
    letters[TOKEN_BYTES - 1] = ' ';
    return new String(letters);
  }

  /** What every answer to a prompt with this digest begins with. */
  public static String header(String promptDigest) {
    return "[" + promptDigest + "]: ";
  }

  /** Digest of a prompt: the contents of its messages in order. */
  public static String digest(Iterable<String> contents) {
    StringBuilder all = new StringBuilder();
    for (String content : contents) {
      all.append(content.length()).append(':').append(content);
    }
    byte[] sha256 = Payload.of(all.toString()).sha256().array();
    return HexFormat.of().formatHex(sha256, 0, DIGEST_HEX_BYTES);
  }

  /** Tokens of a message with this content. */
  public static int messageTokens(String content) {
    int bytes = content.getBytes(StandardCharsets.UTF_8).length;
    return MESSAGE_OVERHEAD_TOKENS + (bytes + TOKEN_BYTES - 1) / TOKEN_BYTES;
  }
}
