package org.baykeel.gateway.http;

/** The bytes of a message do not obey the grammar of HTTP/1.1, or exceed a limit of its framing. */
final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final Kind kind;

  /** What is wrong with the message. */
  enum Kind {
    /** It does not obey the grammar. */
    GRAMMAR,
    /** The start line and the fields, or the trailer fields, are too long. */
    HEAD_TOO_LARGE,
    /** Its chunks are too small for the length of the body. */
    FRAMING_TOO_LARGE
  }

  MalformedMessageException(Kind kind, String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  Kind kind() {
    return kind;
  }
}
