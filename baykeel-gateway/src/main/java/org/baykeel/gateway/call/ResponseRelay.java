package org.baykeel.gateway.call;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.buffering.ResponseSource;

/**
 * Passes a stream on to the caller, across the engines that produce it. Events are held back until
 * their tokens are granted; an event that the caller already has is dropped. While much is held for
 * the caller, the engine is not read.
 */
final class ResponseRelay implements ResponseSource {
  private final CallResponder responder;
  private final ByteArrayOutputStream output;
  private final List<StreamEvent> held = new ArrayList<>();
  private ResponseSource source = ResponseSource.NONE;
  private ResponseHead head;
  private boolean open;
  private boolean begun;
  private long lastEventId;
  private int eventsPassed;

  /**
   * Creates a relay.
   *
   * @param lastEventId the last event that the caller has; {@link CallAttributes#ABSENT} if none
   * @param collectOutput whether the data of the events is to be kept
   */
  ResponseRelay(CallResponder responder, long lastEventId, boolean collectOutput) {
    this.responder = responder;
    this.lastEventId = lastEventId;
    this.output = collectOutput ? new ByteArrayOutputStream() : null;
  }

  /** Sets which engine brings the answer from now on. */
  void readsFrom(ResponseSource engine) {
    source = engine;
    responder.flow().setSource(this);
  }

  @Override
  public void pause() {
    source.pause();
  }

  @Override
  public void resume() {
    source.resume();
  }

  /** Takes the head of an engine's answer; that of the first engine is the caller's. */
  void head(ResponseHead newHead) {
    if (!begun) {
      head = newHead;
    }
  }

  /** Lets events through from now on. Returns how many that were held went to the caller. */
  int open() {
    open = true;
    int before = eventsPassed;
    List<StreamEvent> granted = List.copyOf(held);
    held.clear();
    for (StreamEvent event : granted) {
      pass(event);
      responder.flow().release(event.bytes().length);
    }
    return eventsPassed - before;
  }

  /** Takes an event. Returns whether it went to the caller. */
  boolean event(StreamEvent event) {
    if (event.id() != CallAttributes.ABSENT && event.id() <= lastEventId) {
      return false;
    }
    if (event.id() != CallAttributes.ABSENT) {
      lastEventId = event.id();
    }
    if (!open) {
      held.add(event);
      responder.flow().hold(event.bytes().length);
      return false;
    }
    pass(event);
    return true;
  }

  private void pass(StreamEvent event) {
    begin();
    eventsPassed++;
    if (output != null && event.data() != null) {
      output.writeBytes(event.data());
      output.write('\n');
    }
    responder.sendEvent(event.bytes());
  }

  private void begin() {
    if (!begun) {
      begun = true;
      responder.startStream(head);
    }
  }

  void end() {
    begin();
    responder.endStream();
  }

  void abort() {
    responder.abortStream();
  }

  /** Whether the caller has the head. */
  boolean begun() {
    return begun;
  }

  /** Whether events wait for their grant. */
  boolean holding() {
    return !held.isEmpty();
  }

  /** The last event that the caller has or is about to get. */
  long lastEventId() {
    return lastEventId;
  }

  int eventsPassed() {
    return eventsPassed;
  }

  /**
   * Ends the relay; events that wait for their grant are dropped.
   *
   * @return how many events went to the caller
   */
  int close() {
    held.forEach(event -> responder.flow().release(event.bytes().length));
    held.clear();
    responder.flow().setSource(NONE);
    return eventsPassed;
  }

  /** The data of the events, a line feed after each. */
  byte[] output() {
    return output.toByteArray();
  }
}
