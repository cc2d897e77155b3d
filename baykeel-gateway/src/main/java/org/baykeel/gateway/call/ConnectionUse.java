package org.baykeel.gateway.call;

/**
 * The connection that carries an exchange with an engine.
 *
 * @param connection the number of the connection among all that the transport has opened, from 1; 0
 *     if nothing was sent
 * @param exchange the number of the exchange on the connection, from 1
 * @param skipped the number of responses to other requests that were read during the exchange
 */
public record ConnectionUse(long connection, int exchange, int skipped) {
  /** The use of a request that was not sent, or whose connection is not known. */
  public static final ConnectionUse NONE = new ConnectionUse(0, 0, 0);

  /** Returns this use after one more response to another request. */
  public ConnectionUse withSkippedResponse() {
    return new ConnectionUse(connection, exchange, skipped + 1);
  }
}
