package org.baykeel.gateway.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.baykeel.gateway.call.ConnectionUse;
import org.baykeel.gateway.call.ResponseTraits;
import org.baykeel.gateway.directory.Engine;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;
import org.baykeel.gateway.telemetry.LogText;

/**
 * Logs the responses of engines that were read although they belong to no request in progress. A
 * connection gives rise to few lines, since it is not used again.
 */
final class UnrelatedResponseLog {
  private final GatewayLog log;

  UnrelatedResponseLog(GatewayLog log) {
    this.log = log;
  }

  /**
   * Records a response to another request than the one in progress.
   *
   * @param exchange the exchange in progress
   */
  void skipped(
      Engine engine, PendingExchange exchange, HttpResponseStatus status, ResponseTraits traits) {
    ConnectionUse use = exchange.connectionUse();
    log.write(
        GatewayEvent.RESPONSE_SKIPPED,
        "id",
        exchange.requestId(),
        "engine",
        engine.record().id(),
        "connection",
        use.connection(),
        "exchange",
        use.exchange(),
        "response_id",
        LogText.bounded(traits.requestId()),
        "status",
        status.code(),
        "signature",
        LogText.bounded(traits.signature()));
  }

  /**
   * Records a response on a connection on which no request is in progress.
   *
   * @param connection the number of the connection
   * @param exchanges the number of exchanges on it so far
   */
  void unexpected(
      Engine engine,
      long connection,
      int exchanges,
      HttpResponseStatus status,
      ResponseTraits traits) {
    log.write(
        GatewayEvent.RESPONSE_UNEXPECTED,
        "engine",
        engine.record().id(),
        "connection",
        connection,
        "exchange",
        exchanges,
        "response_id",
        LogText.bounded(traits.requestId()),
        "status",
        status.code(),
        "signature",
        LogText.bounded(traits.signature()));
  }

  /**
   * Records bytes that are not a whole head on a connection on which no request is in progress.
   *
   * @param connection the number of the connection
   * @param exchanges the number of exchanges on it so far
   */
  void partial(Engine engine, long connection, int exchanges) {
    log.write(
        GatewayEvent.RESPONSE_UNEXPECTED,
        "engine",
        engine.record().id(),
        "connection",
        connection,
        "exchange",
        exchanges,
        "response_id",
        null,
        "status",
        0,
        "signature",
        null);
  }
}
