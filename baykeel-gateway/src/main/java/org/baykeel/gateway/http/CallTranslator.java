package org.baykeel.gateway.http;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.gateway.call.CallAttributes;
import org.baykeel.gateway.call.EngineRequest;
import org.baykeel.gateway.call.Refusal;
import org.baykeel.gateway.call.ResponseTraits;
import org.baykeel.gateway.directory.Engine;

/** Translates between the header fields of a deployment and the gateway's own types. */
public interface CallTranslator {

  /**
   * Reads the attributes of a call from the caller's header fields.
   *
   * @throws BaykeelException of kind INVALID_REQUEST if a field is malformed or a required one
   *     missing
   */
  CallAttributes attributes(HttpHeaders callerHeaders);

  /** Returns the header fields of a request to an engine, without those of its framing. */
  HttpHeaders engineHeaders(EngineRequest request, Engine engine);

  /** Reads the traits of an engine's response from its status and header fields. */
  ResponseTraits responseTraits(HttpResponse response);

  /** Returns a request that no engine runs and that all but one refuse as not meant for them. */
  FullHttpRequest identityRequest(Engine engine);

  /** Whether an engine other than the given one responded to its identity request. */
  boolean isFromOtherEngine(HttpResponse response, Engine engine);

  /** Adds the header fields that callers of this deployment expect in a refusal. */
  void addRefusalHeaders(HttpHeaders headers, Refusal refusal, CallAttributes attributes);
}
