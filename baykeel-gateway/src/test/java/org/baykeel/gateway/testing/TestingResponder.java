package org.baykeel.gateway.testing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.buffering.CallerFlow;
import org.baykeel.gateway.buffering.HeldBytes;
import org.baykeel.gateway.call.CallResponder;
import org.baykeel.gateway.call.Refusal;
import org.baykeel.gateway.call.ResponseHead;

/** Notes what a caller gets. */
public final class TestingResponder implements CallResponder {
  private final List<String> heard = new ArrayList<>();
  private final CallerFlow flow;
  private Refusal refusal;

  /** A caller that reads all that it gets. */
  public TestingResponder() {
    this(new HeldBytes(HeldBytes.Bounds.DEFAULT, new TestingEventLoop()));
  }

  /** A caller for which is held what the test says. */
  public TestingResponder(HeldBytes held) {
    flow = held.open((bytes, nodeBytes, unreadMillis) -> heard.add("too slow"));
  }

  @Override
  public CallerFlow flow() {
    return flow;
  }

  /** All that was heard, in order. */
  public List<String> heard() {
    return heard;
  }

  /** The refusal, or null. */
  public Refusal refusal() {
    return refusal;
  }

  @Override
  public void refuse(Refusal newRefusal) {
    refusal = newRefusal;
    heard.add("refuse " + newRefusal.kind());
  }

  @Override
  public void respond(ResponseHead head, byte[] body) {
    heard.add("answer " + head.status() + " " + new String(body, StandardCharsets.UTF_8));
  }

  @Override
  public void startStream(ResponseHead head) {
    heard.add("begin");
  }

  @Override
  public void sendEvent(byte[] bytes) {
    heard.add(new String(bytes, StandardCharsets.UTF_8).trim().replace('\n', ' '));
  }

  @Override
  public void endStream() {
    heard.add("end");
  }

  @Override
  public void abortStream() {
    heard.add("abort");
  }
}
