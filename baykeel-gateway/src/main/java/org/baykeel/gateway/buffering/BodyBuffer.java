package org.baykeel.gateway.buffering;

import java.util.ArrayList;
import java.util.List;

/** A body that is collected in blocks and joined only once it is complete. */
public final class BodyBuffer {
  private static final int MIN_BLOCK_BYTES = 1_024;
  private static final int MAX_BLOCK_BYTES = 65_536;

  /** Counted for each part, so that the limit of bytes also limits the work of tiny parts. */
  private static final int PART_OVERHEAD_BYTES = 32;

  private final List<byte[]> fullBlocks = new ArrayList<>();
  private byte[] block = new byte[0];
  private int blockLength;
  private int length;
  private long countedBytes;

  /** Adds bytes at the end; they are copied. */
  public void add(byte[] part) {
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
  public long countedBytes() {
    return countedBytes;
  }

  /** Returns the number of bytes added so far. */
  public int length() {
    return length;
  }

  /** Returns all bytes and releases the blocks. */
  public byte[] take() {
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
