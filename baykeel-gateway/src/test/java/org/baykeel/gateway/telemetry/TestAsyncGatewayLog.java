package org.baykeel.gateway.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TestAsyncGatewayLog {
  private static final int LINES = 200_000;

  @Test
  void writesStructuredLines() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    AsyncGatewayLog writer = new AsyncGatewayLog("n1", out);
    writer.write(GatewayEvent.CALL_ENDED, "id", "r1", "detail", "two words");
    writer.close();
    String line = out.toString(StandardCharsets.UTF_8);
    assertTrue(
        line.contains(" event=330 name=CALL_ENDED node=n1 id=r1 detail=\"two words\"\n"), line);
  }

  /** Guards against texts of other writers that add lines to the log, or fill it. */
  @Test
  void valueIsOneBoundedText() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    AsyncGatewayLog writer = new AsyncGatewayLog("n1", out);
    writer.write(GatewayEvent.FAULT, "error", "a\r\nevent=1\u0000\"", "row", "x".repeat(100_000));
    writer.close();
    String text = out.toString(StandardCharsets.UTF_8);
    assertEquals(1, text.lines().count(), text);
    assertTrue(text.contains(" error=\"a  event=1 '\" row=xxx"), text.substring(0, 200));
    assertTrue(text.length() < 2_200, text.length() + " characters");
  }

  @Test
  void fullQueueDropsLinesWithoutBlocking() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    OutputStream slow =
        new OutputStream() {
          @Override
          public void write(int octet) {
            written.write(octet);
          }

          @Override
          public void write(byte[] bytes, int from, int length) {
            await(release);
            written.write(bytes, from, length);
          }
        };
    AsyncGatewayLog writer = new AsyncGatewayLog("n1", slow);
    long start = System.nanoTime();
    for (int i = 0; i < LINES; i++) {
      writer.write(GatewayEvent.CALL_ENDED, "id", i);
    }
    long millis = (System.nanoTime() - start) / 1_000_000;
    assertTrue(millis < 10_000, millis + " ms");
    release.countDown();
    writer.close();
    String text = written.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("LINES_DROPPED"), "drops are counted");
    assertTrue(text.lines().count() < LINES / 10, text.lines().count() + " lines");
  }

  private static void await(CountDownLatch latch) {
    try {
      assertEquals(true, latch.await(30, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      // The writer is closed while its output is blocked.
      Thread.currentThread().interrupt();
    }
  }
}
