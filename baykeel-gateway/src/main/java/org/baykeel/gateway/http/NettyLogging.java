package org.baykeel.gateway.http;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.FormattingTuple;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.MessageFormatter;
import org.baykeel.gateway.telemetry.GatewayEvent;
import org.baykeel.gateway.telemetry.GatewayLog;

/**
 * Writes the warnings and errors of Netty to the node's log. Otherwise Netty would use the logging
 * of the JDK, which has another format and does not write to the node's log.
 */
public final class NettyLogging extends InternalLoggerFactory {
  private final GatewayLog log;

  private NettyLogging(GatewayLog log) {
    this.log = log;
  }

  /**
   * Makes Netty write to a log from now on. Loggers that already exist are not changed.
   *
   * @param log receives warnings and errors; lower levels are discarded
   */
  public static void install(GatewayLog log) {
    setDefaultFactory(new NettyLogging(log));
  }

  @Override
  protected InternalLogger newInstance(String name) {
    return new Logger(name, log);
  }

  /** The logger of one class. Its interface has five overloads for each of five levels. */
  private static final class Logger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;

    private final transient GatewayLog log;

    Logger(String name, GatewayLog log) {
      super(name);
      this.log = log;
    }

    private void write(String message, Throwable cause) {
      log.write(
          GatewayEvent.FAULT,
          "where",
          name(),
          "error",
          cause == null ? message : message + ": " + cause);
    }

    private void write(FormattingTuple formatted) {
      write(formatted.getMessage(), formatted.getThrowable());
    }

    @Override
    public boolean isTraceEnabled() {
      return false;
    }

    @Override
    public void trace(String message) {}

    @Override
    public void trace(String format, Object argument) {}

    @Override
    public void trace(String format, Object first, Object second) {}

    @Override
    public void trace(String format, Object... arguments) {}

    @Override
    public void trace(String message, Throwable cause) {}

    @Override
    public boolean isDebugEnabled() {
      return false;
    }

    @Override
    public void debug(String message) {}

    @Override
    public void debug(String format, Object argument) {}

    @Override
    public void debug(String format, Object first, Object second) {}

    @Override
    public void debug(String format, Object... arguments) {}

    @Override
    public void debug(String message, Throwable cause) {}

    @Override
    public boolean isInfoEnabled() {
      return false;
    }

    @Override
    public void info(String message) {}

    @Override
    public void info(String format, Object argument) {}

    @Override
    public void info(String format, Object first, Object second) {}

    @Override
    public void info(String format, Object... arguments) {}

    @Override
    public void info(String message, Throwable cause) {}

    @Override
    public boolean isWarnEnabled() {
      return true;
    }

    @Override
    public void warn(String message) {
      write(message, null);
    }

    @Override
    public void warn(String format, Object argument) {
      write(MessageFormatter.format(format, argument));
    }

    @Override
    public void warn(String format, Object first, Object second) {
      write(MessageFormatter.format(format, first, second));
    }

    @Override
    public void warn(String format, Object... arguments) {
      write(MessageFormatter.arrayFormat(format, arguments));
    }

    @Override
    public void warn(String message, Throwable cause) {
      write(message, cause);
    }

    @Override
    public boolean isErrorEnabled() {
      return true;
    }

    @Override
    public void error(String message) {
      write(message, null);
    }

    @Override
    public void error(String format, Object argument) {
      write(MessageFormatter.format(format, argument));
    }

    @Override
    public void error(String format, Object first, Object second) {
      write(MessageFormatter.format(format, first, second));
    }

    @Override
    public void error(String format, Object... arguments) {
      write(MessageFormatter.arrayFormat(format, arguments));
    }

    @Override
    public void error(String message, Throwable cause) {
      write(message, cause);
    }
  }
}
