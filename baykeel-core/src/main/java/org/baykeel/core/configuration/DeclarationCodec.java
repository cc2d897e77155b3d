package org.baykeel.core.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HexFormat;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.core.message.Payload;

/** Declarations as the JSON document that is stored and spread. */
public final class DeclarationCodec {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private DeclarationCodec() {}

  /** The document of declarations. */
  public static Payload encode(Declarations declarations) {
    try {
      return Payload.wrap(MAPPER.writeValueAsBytes(declarations));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("declarations are plain data", e);
    }
  }

  /**
   * The declarations of a document.
   *
   * @throws BaykeelException with {@link ErrorKind#INVALID_DECLARATION} if it is none
   */
  public static Declarations decode(Payload document) {
    try {
      return MAPPER.readValue(document.array(), Declarations.class);
    } catch (IOException e) {
      throw new BaykeelException(ErrorKind.INVALID_DECLARATION, "the document cannot be read");
    }
  }

  /** The hexadecimal SHA-256 of a document. */
  public static String digest(Payload document) {
    return HexFormat.of().formatHex(document.sha256().array());
  }
}
