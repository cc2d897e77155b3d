package org.baykeel.gateway.testing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.baykeel.gateway.buffering.EngineBody;

/** Joins the parts of bodies for engines. */
public final class EngineBodies {
  private EngineBodies() {}

  /** Returns the text of an open body. */
  public static String text(EngineBody body) {
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    body.parts().forEach(joined::writeBytes);
    return joined.toString(StandardCharsets.UTF_8);
  }
}
