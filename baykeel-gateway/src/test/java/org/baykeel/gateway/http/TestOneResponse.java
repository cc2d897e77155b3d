package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.baykeel.core.error.ErrorKind;
import org.baykeel.gateway.buffering.CallerFlow;
import org.baykeel.gateway.call.CallResponder;
import org.baykeel.gateway.call.Refusal;
import org.baykeel.gateway.call.ResponseHead;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TestOneResponse {
  private final List<String> sent = new ArrayList<>();
  private final List<GatewayEvent> events = new ArrayList<>();

  /** A connection that records what is sent on it. */
  private final CallResponder connection =
      new CallResponder() {
        @Override
        public CallerFlow flow() {
          return null;
        }

        @Override
        public void refuse(Refusal refusal) {
          sent.add("refuse");
        }

        @Override
        public void respond(ResponseHead head, byte[] body) {
          sent.add("respond");
        }

        @Override
        public void startStream(ResponseHead head) {
          sent.add("start");
        }

        @Override
        public void sendEvent(byte[] bytes) {
          sent.add("event");
        }

        @Override
        public void endStream() {
          sent.add("end");
        }

        @Override
        public void abortStream() {
          sent.add("abort");
        }
      };

  private static void perform(CallResponder responder, String step) {
    switch (step) {
      case "refuse" -> responder.refuse(Refusal.of(ErrorKind.DEADLINE_PASSED, "deadline"));
      case "respond" -> responder.respond(null, new byte[0]);
      case "start" -> responder.startStream(null);
      case "event" -> responder.sendEvent(new byte[0]);
      case "end" -> responder.endStream();
      case "abort" -> responder.abortStream();
      default -> throw new IllegalArgumentException(step);
    }
  }

  /**
   * Guards against a call that responds a second time: on a connection that is kept, its caller
   * would take that for the response to the next request.
   */
  @ParameterizedTest
  @CsvSource({
    "respond, respond, 0",
    "refuse, refuse, 0",
    "start event event end, start event event end, 0",
    "start event abort, start event abort, 0",
    "abort, abort, 0",
    "respond respond, respond, 1",
    "refuse respond, refuse, 1",
    "respond refuse, respond, 1",
    "respond start event end, respond, 3",
    "respond abort, respond, 1",
    "start event end event, start event end, 1",
    "start event end end, start event end, 1",
    "start event abort event end refuse, start event abort, 3",
    "start event refuse, start event abort, 1",
    "start event respond end, start event abort, 2",
    "start start event, start abort, 2",
    "event end, '', 2",
  })
  void onlyOneResponseIsSent(String steps, String expected, int discarded) {
    OneResponse response = new OneResponse(connection, "r1", (event, fields) -> events.add(event));
    Arrays.stream(steps.split(" ")).forEach(step -> perform(response, step));
    assertEquals(expected, String.join(" ", sent));
    assertEquals(discarded, events.size());
  }
}
