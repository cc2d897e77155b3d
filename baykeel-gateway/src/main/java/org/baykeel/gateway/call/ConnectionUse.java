package org.baykeel.gateway.call;

/**
 * The connection that carries an exchange with an engine.
 *
 * @param connection the number of the connection among all that the transport has opened, from 1; 0
 *     if nothing was sent
 * @param exchange the number of the exchange on the connection, from 1
 */
public record ConnectionUse(long connection, int exchange) {
  /** The use of a request that was not sent, or whose connection is not known. */
  public static final ConnectionUse NONE = new ConnectionUse(0, 0);
}
