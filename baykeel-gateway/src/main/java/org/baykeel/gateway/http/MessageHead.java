package org.baykeel.gateway.http;

import io.netty.buffer.ByteBuf;

/**
 * Checks the lines of a head against the grammar of RFC 9112 and reads from them how the body is
 * framed. A head is refused if another implementation could read it differently: folded lines,
 * blanks around field names, several lengths, and transfer codings other than {@code chunked}.
 */
final class MessageHead {
  private static final byte SPACE = ' ';
  private static final byte TAB = '\t';
  private static final byte COLON = ':';
  private static final int DELETE = 0x7f;
  private static final int ASCII = 0x80;
  private static final String VERSION = "HTTP/1.";
  private static final String CONTENT_LENGTH = "content-length";
  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final String CHUNKED = "chunked";
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
  private static final boolean[] TOKEN = tokenCharacters();

  /** A length with more digits could exceed a long. */
  private static final int MAX_LENGTH_DIGITS = 18;

  private static final int STATUS_DIGITS = 3;
  private static final int MIN_STATUS = 100;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /** The value of a length that is not stated. */
  static final long NO_LENGTH = -1;

  private final Kind kind;
  private boolean started;
  private boolean minorVersionZero;
  private int status;
  private int fields;
  private long contentLength = NO_LENGTH;
  private boolean chunked;

  /** The kind of message, which decides on the start line. */
  enum Kind {
    REQUEST {
      @Override
      void readStartLine(MessageHead head, ByteBuf in, int from, int to) {
        head.readRequestLine(in, from, to);
      }
    },
    RESPONSE {
      @Override
      void readStartLine(MessageHead head, ByteBuf in, int from, int to) {
        head.readStatusLine(in, from, to);
      }
    };

    abstract void readStartLine(MessageHead head, ByteBuf in, int from, int to);
  }

  MessageHead(Kind kind) {
    this.kind = kind;
  }

  private static boolean[] tokenCharacters() {
    boolean[] token = new boolean[ASCII];
    for (int i = 0; i < ASCII; i++) {
      token[i] = Character.isLetterOrDigit(i) || TOKEN_SYMBOLS.indexOf(i) >= 0;
    }
    return token;
  }

  /** Whether the start line was read. */
  boolean started() {
    return started;
  }

  /** The number of fields so far. */
  int fields() {
    return fields;
  }

  /** The stated length of the body, in bytes; {@link #NO_LENGTH} if none is stated. */
  long contentLength() {
    return contentLength;
  }

  boolean chunked() {
    return chunked;
  }

  /** Whether the status of a response excludes a body, whatever its fields say. */
  boolean excludesBody() {
    return kind == Kind.RESPONSE
        && (status < MIN_FINAL_STATUS || status == NO_CONTENT || status == NOT_MODIFIED);
  }

  /**
   * Reads the next line.
   *
   * @param from the index of its first byte
   * @param to the index behind its last byte, without the line end
   * @throws MalformedMessageException if the line does not obey the grammar
   */
  void addLine(ByteBuf in, int from, int to) {
    if (!started) {
      started = true;
      kind.readStartLine(this, in, from, to);
      return;
    }
    fields++;
    int colon = checkField(in, from, to);
    if (equalsIgnoreCase(in, from, colon, CONTENT_LENGTH)) {
      readContentLength(in, valueStart(in, colon, to), valueEnd(in, colon, to));
    } else if (equalsIgnoreCase(in, from, colon, TRANSFER_ENCODING)) {
      readTransferEncoding(in, valueStart(in, colon, to), valueEnd(in, colon, to));
    }
  }

  /**
   * Checks that the framing is unambiguous, after the last line.
   *
   * @throws MalformedMessageException if it is not
   */
  void complete() {
    require(!chunked || contentLength == NO_LENGTH, "both a length and a chunked body");
    require(!chunked || !minorVersionZero, "a chunked body in HTTP/1.0");
  }

  private void readRequestLine(ByteBuf in, int from, int to) {
    int methodEnd = tokenEnd(in, from, to);
    require(
        methodEnd > from && methodEnd < to && in.getByte(methodEnd) == SPACE,
        "request line has no method");
    int target = methodEnd + 1;
    int targetEnd = target;
    while (targetEnd < to && isTargetByte(in.getByte(targetEnd))) {
      targetEnd++;
    }
    require(
        targetEnd > target && targetEnd < to && in.getByte(targetEnd) == SPACE,
        "request line has no target");
    require(targetEnd + 1 + VERSION.length() + 1 == to, "request line has no version");
    readVersion(in, targetEnd + 1, to);
  }

  private static boolean isTargetByte(byte octet) {
    return octet > SPACE && octet != DELETE;
  }

  /** Reads the version, and returns the index behind it. */
  private int readVersion(ByteBuf in, int from, int to) {
    int minor = from + VERSION.length();
    require(minor < to, "version is not HTTP/1.x");
    for (int i = 0; i < VERSION.length(); i++) {
      require(in.getByte(from + i) == VERSION.charAt(i), "version is not HTTP/1.x");
    }
    byte digit = in.getByte(minor);
    require(digit == '0' || digit == '1', "version is not HTTP/1.x");
    minorVersionZero = digit == '0';
    return minor + 1;
  }

  private void readStatusLine(ByteBuf in, int from, int to) {
    int at = readVersion(in, from, to);
    int end = at + 1 + STATUS_DIGITS;
    require(end <= to && in.getByte(at) == SPACE, "status line has no status");
    for (int i = at + 1; i < end; i++) {
      require(isDigit(in.getByte(i)), "status is not a number of three digits");
      status = status * 10 + in.getByte(i) - '0';
    }
    require(status >= MIN_STATUS && status <= MAX_STATUS, "status is out of range");
    require(end == to || in.getByte(end) == SPACE, "status is not a number of three digits");
    checkText(in, end, to, "control character in the reason phrase");
  }

  /**
   * Checks a field line, of a head or of trailers.
   *
   * @return the index of its colon
   * @throws MalformedMessageException if it does not obey the grammar
   */
  static int checkField(ByteBuf in, int from, int to) {
    require(in.getByte(from) != SPACE && in.getByte(from) != TAB, "folded field");
    int colon = tokenEnd(in, from, to);
    require(colon > from && colon < to && in.getByte(colon) == COLON, "field name is not a token");
    checkText(in, colon + 1, to, "control character in a field value");
    return colon;
  }

  private static int tokenEnd(ByteBuf in, int from, int to) {
    int at = from;
    while (at < to && in.getByte(at) >= 0 && TOKEN[in.getByte(at)]) {
      at++;
    }
    return at;
  }

  private static void checkText(ByteBuf in, int from, int to, String violation) {
    for (int i = from; i < to; i++) {
      byte octet = in.getByte(i);
      require((octet < 0 || octet >= SPACE || octet == TAB) && octet != DELETE, violation);
    }
  }

  private static boolean isBlank(byte octet) {
    return octet == SPACE || octet == TAB;
  }

  private static boolean isDigit(byte octet) {
    return octet >= '0' && octet <= '9';
  }

  private static int valueStart(ByteBuf in, int colon, int to) {
    int at = colon + 1;
    while (at < to && isBlank(in.getByte(at))) {
      at++;
    }
    return at;
  }

  private static int valueEnd(ByteBuf in, int colon, int to) {
    int end = to;
    while (end > colon + 1 && isBlank(in.getByte(end - 1))) {
      end--;
    }
    return end;
  }

  private void readContentLength(ByteBuf in, int from, int to) {
    require(contentLength == NO_LENGTH, "several lengths");
    require(to > from && to - from <= MAX_LENGTH_DIGITS, "length is not a number");
    long length = 0;
    for (int i = from; i < to; i++) {
      require(isDigit(in.getByte(i)), "length is not a number");
      length = length * 10 + in.getByte(i) - '0';
    }
    contentLength = length;
  }

  private void readTransferEncoding(ByteBuf in, int from, int to) {
    require(!chunked && equalsIgnoreCase(in, from, to, CHUNKED), "unsupported transfer encoding");
    chunked = true;
  }

  private static boolean equalsIgnoreCase(ByteBuf in, int from, int to, String lowerCase) {
    if (to - from != lowerCase.length()) {
      return false;
    }
    for (int i = 0; i < lowerCase.length(); i++) {
      int octet = in.getByte(from + i);
      int lower = octet >= 'A' && octet <= 'Z' ? octet + ('a' - 'A') : octet;
      if (lower != lowerCase.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  private static void require(boolean holds, String violation) {
    if (!holds) {
      throw new MalformedMessageException(MalformedMessageException.Kind.GRAMMAR, violation);
    }
  }
}
