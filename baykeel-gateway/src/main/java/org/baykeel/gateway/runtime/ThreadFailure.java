package org.baykeel.gateway.runtime;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Ends the process when one of its threads ends unexpectedly: a process without its event loop
 * neither serves nor stops, whereas one that has ended is started again. Writes one line directly
 * to standard error, since the log has a thread of its own that may have failed too.
 */
public final class ThreadFailure implements Thread.UncaughtExceptionHandler {
  /** The exit status, EX_SOFTWARE of sysexits.h. */
  public static final int EXIT_STATUS = 70;

  /** Written if there is no memory left for a line that names the error. */
  private static final byte[] LINE_WITHOUT_CAUSE =
      "thread failed, process ends\n".getBytes(StandardCharsets.US_ASCII);

  private final OutputStream errors = new FileOutputStream(FileDescriptor.err);

  @Override
  public void uncaughtException(Thread thread, Throwable error) {
    try {
      write(line(thread, error));
    } finally {
      Runtime.getRuntime().halt(EXIT_STATUS);
    }
  }

  private static byte[] line(Thread thread, Throwable error) {
    try {
      String line = "thread " + thread.getName() + " failed, process ends: " + error + '\n';
      return line.getBytes(StandardCharsets.UTF_8);
    } catch (OutOfMemoryError e) {
      return LINE_WITHOUT_CAUSE;
    }
  }

  private void write(byte[] line) {
    try {
      errors.write(line);
    } catch (IOException e) {
      // Standard error is closed; the exit status tells that the process has failed.
    }
  }
}
