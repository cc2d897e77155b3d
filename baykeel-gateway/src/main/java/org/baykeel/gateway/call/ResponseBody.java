package org.baykeel.gateway.call;

import java.util.ArrayList;
import java.util.List;

/** The body of a response, which is collected in blocks and joined only once it is complete. */
final class ResponseBody {
  private static final int MIN_BLOCK_BYTES = 1_024;
  private static final int MAX_BLOCK_BYTES = 65_536;

  /** Counted for each part, so that the limit of bytes also limits the work of tiny parts. */
  private static final int PART_OVERHEAD_BYTES = 32;

  private final List<byte[]> fullBlocks = new ArrayList<>();
  private byte[] block = new byte[0];
  private int blockLength;
  private int length;
  private long countedBytes;

  void add(byte[] part) {
    int copied = Math.min(part.length, block.length - blockLength);
    System.arraycopy(part, 0, block, blockLength, copied);
    blockLength += copied;
    if (copied < part.length) {
      nextBlock(part, copied);
    }
    length += part.length;
    countedBytes += part.length + PART_OVERHEAD_BYTES;
  }

  private void nextBlock(byte[] part, int from) {
    if (blockLength > 0) {
      fullBlocks.add(block);
    }
    int remaining = part.length - from;
    int grown = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, length));
    block = new byte[Math.max(remaining, grown)];
    System.arraycopy(part, from, block, 0, remaining);
    blockLength = remaining;
  }

  /** Returns the bytes that count towards limits: the length and an overhead for each part. */
  long countedBytes() {
    return countedBytes;
  }

  /** Returns all bytes and releases the blocks. */
  byte[] take() {
    byte[] joined = new byte[length];
    int at = 0;
    for (byte[] full : fullBlocks) {
      System.arraycopy(full, 0, joined, at, full.length);
      at += full.length;
    }
    System.arraycopy(block, 0, joined, at, blockLength);
    fullBlocks.clear();
    block = new byte[0];
    blockLength = 0;
    length = 0;
    return joined;
  }
}
