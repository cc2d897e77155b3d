package org.baykeel.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/** Checks of the heads of responses. */
final class ResponseHeads {
  private static final String VERSION = "HTTP/1.";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d");

  private ResponseHeads() {}

  /**
   * Whether a status line stands within a head: the head of a response that was cut is then read
   * together with the head of the response behind it.
   */
  static boolean holdsSecondStatusLine(HttpResponse response) {
    if (holdsStatusLine(response.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> field : response.headers()) {
      if (holdsStatusLine(field.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean holdsStatusLine(String text) {
    return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
  }
}
