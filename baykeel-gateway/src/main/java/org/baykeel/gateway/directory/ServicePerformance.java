package org.baykeel.gateway.directory;

/**
 * How fast the engines of a service work, learnt from this process's own requests. Starting values
 * only serve until the first answers are in; nothing here is a property of one deployment.
 */
public final class ServicePerformance {
  /** What one more observation leaves of the weight of the earlier ones; about 200 count. */
  private static final double DECAY = 0.995;

  /** Weight of one observation of a plain mean; about the last 50 count. */
  private static final double SMOOTHING = 0.02;

  /** A low estimate falls this fast to an observation below it, and rises a tenth as fast. */
  private static final double FALL_RATE = 0.2;

  private static final double RISE_RATE = 0.02;

  /** Prompts whose lengths differ less than this tell nothing of the speed of reading. */
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
   * Notes the first event of a stream.
   *
   * @param uncachedTokens tokens of the prompt that the engine was believed not to keep
   * @param millis the time since the request was sent
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

  /** Least squares over the observations that still count. */
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

  /** Notes the time between two events of a stream, in milliseconds. */
  public void observeInterEventTime(double millis) {
    interEventMillis += SMOOTHING * (millis - interEventMillis);
  }

  /** Notes how many events a whole stream had. */
  public void observeEvents(int events) {
    eventsPerStream += SMOOTHING * (events - eventsPerStream);
  }

  /** Notes by how many tokens the prompt of a line of turns grew since its last turn. */
  public void observeNewTokens(int tokens) {
    newTokens += SMOOTHING * (tokens - newTokens);
  }

  /** Notes the time that a whole answer other than a stream took, in milliseconds. */
  public void observeNonStream(double millis) {
    nonStreamMillis += SMOOTHING * (millis - nonStreamMillis);
  }

  /** The time to read tokens that are not kept, in milliseconds. */
  public double prefillMillis(double tokens) {
    return tokens * millisPerToken;
  }

  /** The time to the first event of an idle engine that keeps the whole prompt, in milliseconds. */
  public double firstEventMillis() {
    return firstEventMillis;
  }

  /** The usual time between two events of a stream, in milliseconds. */
  public double interEventMillis() {
    return interEventMillis;
  }

  /** The usual number of events of a stream. */
  public double eventsPerStream() {
    return eventsPerStream;
  }

  /** Tokens by which a prompt usually grows from turn to turn. */
  public double newTokens() {
    return newTokens;
  }

  /** The usual time of an answer that is not a stream, in milliseconds. */
  public double nonStreamMillis() {
    return nonStreamMillis;
  }

  /** The usual time of a stream once its first event is there, in milliseconds. */
  public double streamMillis() {
    return eventsPerStream * interEventMillis;
  }
}
