package org.baykeel.gateway.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.baykeel.gateway.buffering.EngineBody;
import org.baykeel.gateway.configuration.Backend;
import org.baykeel.gateway.configuration.Route;
import org.baykeel.gateway.configuration.RouteKind;
import org.baykeel.gateway.directory.PromptPart;
import org.baykeel.gateway.program.RequestFingerprint;
import org.baykeel.gateway.residency.Residency;
import org.baykeel.gateway.tenancy.Caller;
import org.baykeel.gateway.tenancy.LimitUse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against tries of the same work that are not recognized, and against confusing others. */
class TestCallFingerprint {
  private static final String BODY = "earlier turns, new input";

  /** What a request asks for; a test changes one part of it. */
  private String id = "r1";

  private String host = "10.0.0.1:80";
  private String target = "/a/b";
  private String model = "m";
  private String program = "p";
  private String previousTurn = null;
  private long lastEventId = CallAttributes.ABSENT;
  private String affinityKey = "7";
  private List<PromptPart> prompt = List.of(new PromptPart("aa", 60), new PromptPart("b1", 40));
  private String body = BODY;
  private String engineBody = BODY;

  private RequestFingerprint fingerprint() {
    CallAttributes attributes =
        new CallAttributes(
            id,
            3_000,
            9_000,
            program,
            program,
            CallAttributes.ABSENT,
            500,
            model,
            prompt,
            previousTurn,
            lastEventId,
            null,
            affinityKey,
            null);
    CallRequest request =
        new CallRequest("POST", target, host, new DefaultHttpHeaders(), bytes(body), attributes, 0);
    AuthorizedCall call =
        new AuthorizedCall(request, ROUTE, Caller.ANONYMOUS, LimitUse.UNKNOWN, "s", 0, 0);
    return CallFingerprint.builder(call, EngineBody.of(bytes(engineBody))).build();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/",
          RouteKind.STREAMING,
          3_000,
          200,
          300,
          1,
          List.of(new Backend("s", 1)),
          1,
          false,
          0,
          false,
          true,
          false,
          Residency.ANY);

  @Test
  void laterTriesHaveFingerprintOfFirst() {
    RequestFingerprint first = fingerprint();
    id = "r2";
    host = "10.0.0.2:81";
    program = "q";
    assertEquals(first, fingerprint());
    lastEventId = 12;
    assertEquals(first, fingerprint());
  }

  @Test
  void turnThatNamesItsPreviousTurnHasFingerprintOfWholeOne() {
    RequestFingerprint whole = fingerprint();
    previousTurn = "t0";
    body = "new input";
    assertEquals(whole, fingerprint());
  }

  @ParameterizedTest
  @CsvSource({"target", "model", "affinityKey", "prompt", "body", "length"})
  void otherWorkHasOtherFingerprint(String part) {
    RequestFingerprint first = fingerprint();
    switch (part) {
      case "target" -> target = "/a/c";
      case "model" -> model = "n";
      case "affinityKey" -> affinityKey = null;
      case "prompt" -> prompt = List.of(new PromptPart("aa", 60), new PromptPart("b2", 40));
      case "body" -> engineBody = "earlier turns, new inpuT";
      default -> engineBody = BODY + ".";
    }
    assertNotEquals(first, fingerprint());
  }

  @Test
  void requestsWithoutContentAreToldApartByTheirProgram() {
    prompt = List.of();
    engineBody = "";
    RequestFingerprint first = fingerprint();
    program = "q";
    assertNotEquals(first, fingerprint());
  }

  @Test
  void headIsThatOfTheFingerprint() {
    RequestFingerprint.Builder builder = new RequestFingerprint.Builder(bytes(BODY)).add("x");
    assertEquals(builder.build().head(), builder.head());
    assertEquals(Optional.of(16), Optional.of(builder.build().toString().length()));
  }

  /** The value was computed by the build in production, with which this one compares it. */
  @Test
  void bodyInPartsHasFingerprintOfJoinedOne() {
    EngineBody parts =
        new EngineBody(List.of(bytes("earlier "), bytes(""), bytes("turns, new input")), () -> {});
    RequestFingerprint.Builder builder = new RequestFingerprint.Builder(parts);
    assertEquals("68a0f194973f1178", builder.add("x").add(null).build().toString());
  }

  @Test
  void fingerprintOutlivesItsBody() {
    EngineBody body = EngineBody.of(bytes(BODY));
    RequestFingerprint.Builder builder = new RequestFingerprint.Builder(body).add("x");
    RequestFingerprint built = builder.build();
    body.release();
    assertEquals(built, builder.build());
    assertEquals(built.head(), builder.head());
  }
}
