package org.baykeel.gateway.buffering;

/** The source of the bytes of a response; it delivers no more bytes while it is paused. */
public interface ResponseSource {
  /** A source that delivers nothing. */
  ResponseSource NONE =
      new ResponseSource() {
        @Override
        public void pause() {}

        @Override
        public void resume() {}
      };

  /** Stops reading. Bytes that were read before may still be delivered. */
  void pause();

  /** Continues to read. */
  void resume();
}
