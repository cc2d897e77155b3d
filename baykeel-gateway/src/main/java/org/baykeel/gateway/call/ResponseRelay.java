package org.baykeel.gateway.call;

import java.util.ArrayList;
import java.util.List;
import org.baykeel.gateway.buffering.BodyBuffer;
import org.baykeel.gateway.buffering.ResponseSource;

/**
 * Passes a stream on to the caller, also when several engines produce it one after the other.
 * Events are held until their tokens are granted; an event that the caller already has is dropped.
 * While too many bytes are held for the caller, the engine is not read.
 */
final class ResponseRelay implements ResponseSource {
  private static final byte[] LINE_FEED = {'\n'};

  private final CallResponder responder;
  private final BodyBuffer output;
  private final List<StreamEvent> held = new ArrayList<>();
  private ResponseSource source = ResponseSource.NONE;
  private ResponseHead head;
  private boolean passing;
  private boolean headSent;
  private long lastEventId;
  private int eventsSent;

  /**
   * Creates a relay.
   *
   * @param lastEventId the last event that the caller has; {@link CallAttributes#ABSENT} if none
   * @param collectOutput whether to collect the data of the events for storage
   */
  ResponseRelay(CallResponder responder, long lastEventId, boolean collectOutput) {
    this.responder = responder;
    this.lastEventId = lastEventId;
    this.output = collectOutput ? new BodyBuffer() : null;
  }

  /** Sets the source of the response from now on. */
  void readFrom(ResponseSource newSource) {
    source = newSource;
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

  /**
   * Takes the head of an engine's response; the caller gets that of the engine that produced the
   * first event, or the latest one if there is no event.
   *
   * @return whether the caller gets this head unless a later one replaces it
   */
  boolean setHead(ResponseHead newHead) {
    boolean taken = !headSent && held.isEmpty();
    if (taken) {
      head = newHead;
    }
    return taken;
  }

  /** Passes held events and all later ones on. Returns how many held events went to the caller. */
  int passOn() {
    passing = true;
    int before = eventsSent;
    List<StreamEvent> toSend = List.copyOf(held);
    held.clear();
    for (StreamEvent event : toSend) {
      send(event);
      responder.flow().release(event.bytes().length);
    }
    return eventsSent - before;
  }

  /** Takes an event. Returns whether it went to the caller. */
  boolean addEvent(StreamEvent event) {
    if (event.id() != CallAttributes.ABSENT && event.id() <= lastEventId) {
      return false;
    }
    if (event.id() != CallAttributes.ABSENT) {
      lastEventId = event.id();
    }
    if (!passing) {
      held.add(event);
      responder.flow().hold(event.bytes().length);
      return false;
    }
    send(event);
    return true;
  }

  private void send(StreamEvent event) {
    sendHead();
    eventsSent++;
    if (output != null && event.data() != null) {
      output.add(event.data());
      output.add(LINE_FEED);
    }
    responder.sendEvent(event.bytes());
  }

  private void sendHead() {
    if (!headSent) {
      headSent = true;
      responder.startStream(head);
    }
  }

  void endStream() {
    sendHead();
    responder.endStream();
  }

  void abortStream() {
    responder.abortStream();
  }

  /** Whether the caller has got the head. */
  boolean headSent() {
    return headSent;
  }

  /** Whether events are held until their tokens are granted. */
  boolean hasHeldEvents() {
    return !held.isEmpty();
  }

  /** The last event that the caller has or is about to get. */
  long lastEventId() {
    return lastEventId;
  }

  int eventsSent() {
    return eventsSent;
  }

  /**
   * Ends the relay; events still held are dropped.
   *
   * @return how many events went to the caller
   */
  int close() {
    held.forEach(event -> responder.flow().release(event.bytes().length));
    held.clear();
    responder.flow().setSource(NONE);
    return eventsSent;
  }

  /** The length of the data that is collected for storage, in bytes. */
  long outputBytes() {
    return output == null ? 0 : output.length();
  }

  /** Returns the data of the events, a line feed after each, and collects it no longer. */
  byte[] takeOutput() {
    return output.take();
  }
}
