package org.baykeel.gateway.testing;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.baykeel.core.error.BaykeelException;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.call.CallAttributes;
import org.baykeel.gateway.call.EngineRequest;
import org.baykeel.gateway.call.Refusal;
import org.baykeel.gateway.call.ResponseTraits;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.http.CallTranslator;
import org.baykeel.gateway.http.HopByHopHeaders;

/** Translates the header fields of a fictitious deployment. */
public final class TestingTranslator implements CallTranslator {
  public static final String ID = "X-Id";

  /** Returns the attributes of a request that carries only its identifier. */
  public static CallAttributes attributesOf(String id) {
    return new CallAttributes(id, -1, -1, null, null, -1, -1, List.of(), null, -1, null, null);
  }

  @Override
  public CallAttributes attributes(HttpHeaders callerHeaders) {
    if (callerHeaders.get(ID) == null) {
      throw new BaykeelException(ErrorKind.INVALID_REQUEST, "no identifier");
    }
    return attributesOf(callerHeaders.get(ID));
  }

  @Override
  public HttpHeaders engineHeaders(EngineRequest request, Engine engine) {
    return HopByHopHeaders.copyWithout(request.source().headers());
  }

  @Override
  public ResponseTraits responseTraits(HttpResponse response) {
    HttpHeaders headers = response.headers();
    return new ResponseTraits(
        headers.get(ID),
        headers.contains("X-Not-Run"),
        headers.get("X-Signed"),
        "text/event-stream".equals(headers.get("Content-Type")));
  }

  @Override
  public FullHttpRequest identityRequest(Engine engine) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/identity");
    request.headers().set(ID, engine.record().id());
    return request;
  }

  @Override
  public boolean isFromOtherEngine(HttpResponse response, Engine engine) {
    return !engine.record().id().equals(response.headers().get(ID));
  }

  @Override
  public void addRefusalHeaders(HttpHeaders headers, Refusal refusal, CallAttributes attributes) {
    if (refusal.retryAfterMillis() > 0) {
      headers.set("Retry-After", refusal.retryAfterMillis() / 1_000.0);
    }
  }
}
