package org.baykeel.gateway.buffering;

/** Where the bytes of an answer come from; brings no more while it is paused. */
public interface AnswerSource {
  /** Brings nothing. */
  AnswerSource NONE =
      new AnswerSource() {
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
