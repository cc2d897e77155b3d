package org.baykeel.gateway.directory;

/**
 * The performance of the engines of a service, learnt from this node's own requests. The initial
 * values are used only until the first responses have been observed, so no value depends on a
 * particular deployment.
 */
public final class ServicePerformance {
  /**
   * The factor by which each observation reduces the weight of the earlier ones; about the last 200
   * count.
   */
  private static final double DECAY = 0.995;

  /** Weight of one observation of a plain mean; about the last 50 count. */
  private static final double SMOOTHING = 0.02;

  /**
   * Weight of an observation below the estimate of the time to the first event. An observation
   * above it has a tenth of this weight, so that the estimate stays near the lowest values.
   */
  private static final double FALL_RATE = 0.2;

  private static final double RISE_RATE = 0.02;

  /**
   * Prompts whose lengths deviate by less than this many tokens do not determine the prefill rate.
   */
  private static final double MIN_TOKENS_DEVIATION = 50;

  private static final double INITIAL_MILLIS_PER_TOKEN = 0.01;
  private static final double MIN_MILLIS_PER_TOKEN = 0.0005;
  private static final double MAX_MILLIS_PER_TOKEN = 2.0;
  private static final double INITIAL_FIRST_EVENT_MILLIS = 15;
  private static final double INITIAL_INTER_EVENT_MILLIS = 30;
  private static final double INITIAL_EVENTS_PER_STREAM = 10;
  private static final double INITIAL_NEW_TOKENS = 1_000;
  private static final double INITIAL_NON_STREAM_MILLIS = 30;

  private double weight;
  private double sumTokens;
  private double sumMillis;
  private double sumTokensSquared;
  private double sumTokensMillis;
  private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;
  private double firstEventMillis = INITIAL_FIRST_EVENT_MILLIS;
  private double interEventMillis = INITIAL_INTER_EVENT_MILLIS;
  private double eventsPerStream = INITIAL_EVENTS_PER_STREAM;
  private double newTokens = INITIAL_NEW_TOKENS;
  private double nonStreamMillis = INITIAL_NON_STREAM_MILLIS;

  /**
   * Records the first event of a stream.
   *
   * @param uncachedTokens tokens of the prompt that the engine was believed not to have cached
   * @param millis the time since the request was sent, in milliseconds
   */
  public void observeFirstEvent(int uncachedTokens, double millis) {
    weight = weight * DECAY + 1;
    sumTokens = sumTokens * DECAY + uncachedTokens;
    sumMillis = sumMillis * DECAY + millis;
    sumTokensSquared = sumTokensSquared * DECAY + (double) uncachedTokens * uncachedTokens;
    sumTokensMillis = sumTokensMillis * DECAY + uncachedTokens * millis;
    fitPrefill();
    double beyondPrefill = Math.max(0, millis - uncachedTokens * millisPerToken);
    double rate = beyondPrefill < firstEventMillis ? FALL_RATE : RISE_RATE;
    firstEventMillis += rate * (beyondPrefill - firstEventMillis);
  }

  /** Fits the prefill time per token by least squares over the weighted observations. */
  private void fitPrefill() {
    double mean = sumTokens / weight;
    double variance = sumTokensSquared / weight - mean * mean;
    if (variance < MIN_TOKENS_DEVIATION * MIN_TOKENS_DEVIATION) {
      return;
    }
    double covariance = sumTokensMillis / weight - mean * sumMillis / weight;
    double slope = covariance / variance;
    millisPerToken = Math.max(MIN_MILLIS_PER_TOKEN, Math.min(MAX_MILLIS_PER_TOKEN, slope));
  }

  /** Records the time between two events of a stream, in milliseconds. */
  public void observeInterEventTime(double millis) {
    interEventMillis += SMOOTHING * (millis - interEventMillis);
  }

  /** Records the number of events of a complete stream. */
  public void observeEvents(int events) {
    eventsPerStream += SMOOTHING * (events - eventsPerStream);
  }

  /** Records by how many tokens the prompt of a conversation grew since its last turn. */
  public void observeNewTokens(int tokens) {
    newTokens += SMOOTHING * (tokens - newTokens);
  }

  /** Records the time of a complete response that is not a stream, in milliseconds. */
  public void observeNonStream(double millis) {
    nonStreamMillis += SMOOTHING * (millis - nonStreamMillis);
  }

  /** Returns the time to prefill tokens that are not cached, in milliseconds. */
  public double prefillMillis(double tokens) {
    return tokens * millisPerToken;
  }

  /**
   * Returns the time to the first event of an idle engine that has cached the whole prompt, in
   * milliseconds.
   */
  public double firstEventMillis() {
    return firstEventMillis;
  }

  /** Returns the usual time between two events of a stream, in milliseconds. */
  public double interEventMillis() {
    return interEventMillis;
  }

  /** Returns the usual number of events of a stream. */
  public double eventsPerStream() {
    return eventsPerStream;
  }

  /** Returns the number of tokens by which a prompt usually grows from turn to turn. */
  public double newTokens() {
    return newTokens;
  }

  /** Returns the usual time of a response that is not a stream, in milliseconds. */
  public double nonStreamMillis() {
    return nonStreamMillis;
  }

  /** Returns the usual time of a stream after its first event, in milliseconds. */
  public double streamMillis() {
    return eventsPerStream * interEventMillis;
  }
}
