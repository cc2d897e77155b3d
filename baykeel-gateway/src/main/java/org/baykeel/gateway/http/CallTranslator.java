package org.baykeel.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.gateway.call.CallAttributes;
import org.baykeel.gateway.call.EngineRequest;
import org.baykeel.gateway.call.Refusal;
import org.baykeel.gateway.call.ResponseTraits;
import org.baykeel.gateway.directory.Engine;

/** Translates between header fields of a deployment and what they mean to the product. */
public interface CallTranslator {

  /**
   * What a caller's header fields say.
   *
   * @throws BaykeelException of kind INVALID_REQUEST if a field is malformed or a required one
   *     missing
   */
  CallAttributes attributes(HttpHeaders callerHeaders);

  /** The header fields of a request to an engine, without those of its framing. */
  HttpHeaders engineHeaders(EngineRequest request, Engine engine);

  /** What an engine's status and header fields say. */
  ResponseTraits responseTraits(HttpResponse response);

  /** Adds to a refusal's header fields what callers of this deployment expect. */
  void addRefusalHeaders(HttpHeaders headers, Refusal refusal, CallAttributes attributes);
}
