package org.baykeel.node.transport;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import org.baykeel.core.message.Payload;

/**
 * One request of this node to an outside service.
 *
 * @param address IP:PORT
 * @param method such as {@code POST}
 * @param path path with query
 * @param headers extra headers
 * @param freshConnection true to never use a kept connection: the service may just have closed it,
 *     and then nobody could tell whether the request ran
 */
public record HttpCall(
    String address,
    String method,
    String path,
    Map<String, String> headers,
    Payload body,
    boolean freshConnection) {
  public HttpCall {
    requireNonNull(address, "address");
    requireNonNull(method, "method");
    requireNonNull(path, "path");
    headers = Map.copyOf(headers);
    requireNonNull(body, "body");
  }
}
