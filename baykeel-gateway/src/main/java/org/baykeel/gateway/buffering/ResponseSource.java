package org.baykeel.gateway.buffering;

/** Where the bytes of an answer come from; brings no more while it is paused. */
public interface ResponseSource {
  /** Brings nothing. */
  ResponseSource NONE =
      new ResponseSource() {
        @Override
        public void pause() {}

        @Override
        public void resume() {}
      };

  /** Reads no more. What has been read already may still come. */
  void pause();

  /** Reads on. */
  void resume();
}
