package org.baykeel.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The header fields that are never forwarded: those that apply to one connection only, and those
 * that the node sets or handles itself.
 */
public final class HopByHopHeaders {
  private static final Set<String> NAMES =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");

  private HopByHopHeaders() {}

  /** Returns a copy of the fields without those that are never forwarded. */
  public static HttpHeaders copyWithout(HttpHeaders headers) {
    Set<String> named = namedByConnection(headers);
    HttpHeaders copy = new DefaultHttpHeaders(false);
    for (Map.Entry<String, String> field : headers) {
      String name = field.getKey().toLowerCase(Locale.ROOT);
      if (!NAMES.contains(name) && !named.contains(name)) {
        copy.add(field.getKey(), field.getValue());
      }
    }
    return copy;
  }

  private static Set<String> namedByConnection(HttpHeaders headers) {
    if (!headers.contains(HttpHeaderNames.CONNECTION)) {
      return Set.of();
    }
    Set<String> named = new HashSet<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String token : value.split(",")) {
        named.add(token.trim().toLowerCase(Locale.ROOT));
      }
    }
    return named;
  }
}
