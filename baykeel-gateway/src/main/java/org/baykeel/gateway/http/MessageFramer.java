package org.baykeel.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Stands before a decoder of HTTP/1.1 and passes on only messages that obey the grammar of RFC
 * 9112, which the decoder would read leniently. Heads are passed on once they are complete, bodies
 * as they arrive; the fields of trailers and the extensions of chunks are dropped. An incomplete
 * head therefore takes no more memory than its bytes.
 *
 * <p>The first violation is passed on as a {@link MalformedMessageException}, after the bytes
 * before it. All later bytes are dropped.
 */
abstract class MessageFramer extends ChannelInboundHandlerAdapter {
  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final int LINE_END_BYTES = 2;
  private static final int MAX_CHUNK_LINE_BYTES = 1_024;
  private static final int MAX_CHUNK_DIGITS = 8;
  private static final int HEXADECIMAL = 16;

  /** The bytes by which the framing of chunks may exceed the length of the body so far. */
  private static final int MAX_EXTRA_FRAMING_BYTES = 1 << 14;

  private final MessageHead.Kind kind;
  private final int maxHeadBytes;
  private MessageHead head;
  private Part part = Part.HEAD;

  /** The bytes that are still to come of a body with a length, or of a chunk. */
  private long remaining;

  /** The bytes of the section at {@link #at} that hold no further line end, or are checked. */
  private int scanned;

  private int lineStart;

  /** The bytes of lines that were dropped before the head, or in the trailers. */
  private int droppedBytes;

  private long bodyBytes;
  private long framingBytes;

  /** Bytes that were received and not passed on yet. */
  private ByteBuf pending;

  private ChannelHandlerContext context;
  private ByteBuf input;

  /** The index of the first byte of the input that was not dealt with. */
  private int at;

  /** The index of the first byte of the input that is to be passed on. */
  private int passFrom;

  private boolean stopped;

  /** The part of a message that is read next. */
  private enum Part {
    HEAD,
    BODY,
    CHUNK_LINE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILERS,
    /** A body that ends with the connection. */
    BODY_TO_CLOSE,
    /** Nothing is read until {@link #readNext()}. */
    NONE
  }

  /**
   * Creates a framer.
   *
   * @param maxHeadBytes the limit of a start line with its fields, and of the fields of trailers,
   *     in bytes
   */
  MessageFramer(MessageHead.Kind kind, int maxHeadBytes) {
    this.kind = kind;
    this.maxHeadBytes = maxHeadBytes;
    this.head = new MessageHead(kind);
  }

  /**
   * Called before a complete head is passed on.
   *
   * @param bytes its length, in bytes
   */
  abstract void onHead(MessageHead complete, int bytes);

  /** Whether the next message is read only after {@link #readNext()}. */
  abstract boolean waitsBetweenMessages();

  /** Called when the bytes that were received and not passed on have changed. */
  void onPending(int bytes) {}

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    context = handlerContext;
  }

  final ChannelHandlerContext context() {
    return context;
  }

  /** Whether no byte was received, or none after the end of a message. */
  final boolean isAtBoundary() {
    return (part == Part.HEAD || part == Part.NONE) && pendingBytes() == 0;
  }

  /** Whether a message has begun and its head is not complete. */
  final boolean isInHead() {
    return part == Part.HEAD && pendingBytes() > 0;
  }

  /** Whether the start line of a head has been read, and not the whole head. */
  final boolean hasStartLineOnly() {
    return part == Part.HEAD && head.started();
  }

  /** Whether a body is being read whose end is the end of the connection. */
  final boolean isInBodyToClose() {
    return part == Part.BODY_TO_CLOSE;
  }

  /** Records that the end of such a body was read. */
  final void endBodyToClose() {
    part = Part.HEAD;
  }

  /** Whether the message was read and the next one waits for {@link #readNext()}. */
  final boolean isWaiting() {
    return part == Part.NONE;
  }

  final int pendingBytes() {
    if (input != null) {
      return input.writerIndex() - at;
    }
    return pending == null ? 0 : pending.readableBytes();
  }

  /** Drops all that was not passed on and all that is still received. */
  final void stop() {
    stopped = true;
    dropPending();
  }

  /** Drops what was received and not passed on. */
  final void dropPending() {
    if (input != null) {
      // The caller is called by process, which releases the input.
      at = input.writerIndex();
      passFrom = at;
    } else if (pending != null) {
      pending.release();
      pending = null;
      onPending(0);
    }
  }

  /** Begins to read the next message. */
  final void readNext() {
    if (part == Part.NONE) {
      part = Part.HEAD;
      if (input == null && pending != null) {
        process(pending);
      }
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) {
    if (!(message instanceof ByteBuf bytes)) {
      handlerContext.fireChannelRead(message);
    } else if (stopped || !bytes.isReadable()) {
      bytes.release();
    } else if (pending == null) {
      process(bytes);
    } else {
      pending.writeBytes(bytes);
      bytes.release();
      process(pending);
    }
  }

  private void process(ByteBuf bytes) {
    input = bytes;
    at = bytes.readerIndex();
    passFrom = at;
    MalformedMessageException violation = null;
    try {
      while (!stopped && at < input.writerIndex() && readPart()) {
        // Each call deals with further bytes of the input.
      }
    } catch (MalformedMessageException e) {
      violation = e;
    }
    if (!stopped) {
      passOnRead();
    }
    stopped |= violation != null;
    keepRest();
    if (violation != null) {
      context.fireExceptionCaught(violation);
    }
  }

  /** Keeps the bytes that cannot be dealt with yet, in a buffer of about their size. */
  private void keepRest() {
    ByteBuf bytes = input;
    int rest = stopped ? 0 : bytes.writerIndex() - at;
    input = null;
    if (rest == 0) {
      pending = null;
      bytes.release();
    } else if (bytes == pending && rest > bytes.capacity() / 2) {
      bytes.readerIndex(at);
    } else if (bytes != pending || at > bytes.readerIndex()) {
      pending = context.alloc().heapBuffer(rest);
      pending.writeBytes(bytes, at, rest);
      bytes.release();
    }
    onPending(rest);
  }

  /** Passes on the bytes from {@link #passFrom} to {@link #at}. */
  private void passOnRead() {
    if (at > passFrom) {
      ByteBuf passed = input.retainedSlice(passFrom, at - passFrom);
      passFrom = at;
      context.fireChannelRead(passed);
    }
  }

  /** Drops the bytes from {@link #at} to an index. */
  private void drop(int to) {
    passOnRead();
    at = to;
    passFrom = to;
  }

  /** Reads a part of a message, and returns whether it was possible with the bytes received. */
  private boolean readPart() {
    return switch (part) {
      case HEAD -> readHead();
      case BODY -> readBody();
      case CHUNK_LINE -> readChunkLine();
      case CHUNK_DATA -> readChunkData();
      case CHUNK_END -> readChunkEnd();
      case TRAILERS -> readTrailer();
      case BODY_TO_CLOSE -> readToClose();
      case NONE -> false;
    };
  }

  /**
   * Returns the index of the next line feed of the section at {@link #at}; -1 if it was not
   * received.
   */
  private int lineFeed(int maxBytes, MalformedMessageException.Kind beyond) {
    int end = input.indexOf(at + scanned, input.writerIndex(), LINE_FEED);
    scanned = (end < 0 ? input.writerIndex() : end + 1) - at;
    require(scanned <= maxBytes, beyond, "too many bytes of framing");
    require(
        end < 0 || end > at + lineStart && input.getByte(end - 1) == CARRIAGE_RETURN,
        MalformedMessageException.Kind.GRAMMAR,
        "line feed without carriage return");
    return end;
  }

  private boolean readHead() {
    int end = lineFeed(maxHeadBytes - droppedBytes, MalformedMessageException.Kind.HEAD_TOO_LARGE);
    if (end < 0) {
      return false;
    }
    int line = at + lineStart;
    int lineTo = end + 1 - LINE_END_BYTES;
    lineStart = scanned;
    if (lineTo > line) {
      head.addLine(input, line, lineTo);
    } else if (head.started()) {
      completeHead();
    } else {
      skipEmptyLine();
    }
    return true;
  }

  /** Skips an empty line before a request, which some callers send behind a body. */
  private void skipEmptyLine() {
    require(
        kind == MessageHead.Kind.REQUEST,
        MalformedMessageException.Kind.GRAMMAR,
        "empty line before the status line");
    droppedBytes += scanned;
    drop(at + scanned);
    beginSection();
  }

  private void completeHead() {
    MessageHead complete = head;
    complete.complete();
    int bytes = scanned;
    onHead(complete, bytes);
    if (stopped) {
      return;
    }
    at += bytes;
    beginSection();
    head = new MessageHead(kind);
    droppedBytes = 0;
    bodyBytes = 0;
    framingBytes = 0;
    remaining = complete.contentLength();
    if (complete.excludesBody() || remaining == 0) {
      completeMessage();
    } else if (complete.chunked()) {
      part = Part.CHUNK_LINE;
    } else if (remaining > 0) {
      part = Part.BODY;
    } else if (kind == MessageHead.Kind.RESPONSE) {
      part = Part.BODY_TO_CLOSE;
    } else {
      completeMessage();
    }
  }

  private void beginSection() {
    scanned = 0;
    lineStart = 0;
  }

  private void completeMessage() {
    droppedBytes = 0;
    if (waitsBetweenMessages()) {
      part = Part.NONE;
      passOnRead();
    } else {
      part = Part.HEAD;
    }
  }

  private boolean readBody() {
    readRemaining();
    if (remaining == 0) {
      completeMessage();
    }
    return true;
  }

  private void readRemaining() {
    int read = (int) Math.min(remaining, input.writerIndex() - at);
    at += read;
    remaining -= read;
  }

  private boolean readToClose() {
    at = input.writerIndex();
    return true;
  }

  private boolean readChunkLine() {
    int end = lineFeed(MAX_CHUNK_LINE_BYTES, MalformedMessageException.Kind.GRAMMAR);
    if (end < 0) {
      return false;
    }
    int lineTo = end + 1 - LINE_END_BYTES;
    int digitsTo = at;
    long size = 0;
    while (digitsTo < lineTo && Character.digit(input.getByte(digitsTo), HEXADECIMAL) >= 0) {
      size = size * HEXADECIMAL + Character.digit(input.getByte(digitsTo), HEXADECIMAL);
      digitsTo++;
    }
    boolean sized = digitsTo > at && digitsTo - at <= MAX_CHUNK_DIGITS;
    require(
        sized
            && size <= Integer.MAX_VALUE
            && (digitsTo == lineTo || input.getByte(digitsTo) == ';'),
        MalformedMessageException.Kind.GRAMMAR,
        "chunk has no size");
    countFraming(scanned + LINE_END_BYTES, size);
    at = digitsTo;
    if (digitsTo < lineTo) {
      drop(lineTo);
    }
    at = end + 1;
    beginSection();
    remaining = size;
    part = size > 0 ? Part.CHUNK_DATA : Part.TRAILERS;
    return true;
  }

  private void countFraming(int bytes, long chunkBytes) {
    framingBytes += bytes;
    require(
        framingBytes <= bodyBytes + MAX_EXTRA_FRAMING_BYTES,
        MalformedMessageException.Kind.FRAMING_TOO_LARGE,
        "chunks are too small");
    bodyBytes += chunkBytes;
  }

  private boolean readChunkData() {
    readRemaining();
    if (remaining == 0) {
      part = Part.CHUNK_END;
    }
    return true;
  }

  private boolean readChunkEnd() {
    boolean whole = input.writerIndex() - at >= LINE_END_BYTES;
    require(
        input.getByte(at) == CARRIAGE_RETURN && (!whole || input.getByte(at + 1) == LINE_FEED),
        MalformedMessageException.Kind.GRAMMAR,
        "chunk is longer than its size");
    if (whole) {
      at += LINE_END_BYTES;
      part = Part.CHUNK_LINE;
    }
    return whole;
  }

  private boolean readTrailer() {
    int end = lineFeed(maxHeadBytes - droppedBytes, MalformedMessageException.Kind.HEAD_TOO_LARGE);
    if (end < 0) {
      return false;
    }
    int lineTo = end + 1 - LINE_END_BYTES;
    if (lineTo == at) {
      at = end + 1;
      beginSection();
      completeMessage();
    } else {
      MessageHead.checkField(input, at, lineTo);
      droppedBytes += scanned;
      drop(end + 1);
      beginSection();
    }
    return true;
  }

  private static void require(
      boolean holds, MalformedMessageException.Kind violationKind, String violation) {
    if (!holds) {
      throw new MalformedMessageException(violationKind, violation);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) throws Exception {
    dropPending();
    handlerContext.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext handlerContext) {
    dropPending();
  }
}
