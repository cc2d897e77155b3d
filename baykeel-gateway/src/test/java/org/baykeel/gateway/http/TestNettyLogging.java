package org.baykeel.gateway.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TestNettyLogging {
  private final List<String> lines = new ArrayList<>();

  @AfterEach
  void restore() {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
  }

  @Test
  void logsWarningsAndErrorsAndDiscardsLowerLevels() {
    NettyLogging.install((event, fields) -> lines.add(event + " " + Arrays.toString(fields)));
    InternalLogger logger = InternalLoggerFactory.getInstance("a.Class");
    logger.debug("not logged");
    logger.info("not logged {}", 1);
    logger.warn("{} of {}", 2, 3);
    logger.error("broken", new IllegalStateException("cause"));
    assertEquals(
        List.of(
            "FAULT [where, a.Class, error, 2 of 3]",
            "FAULT [where, a.Class, error, broken: java.lang.IllegalStateException: cause]"),
        lines);
  }
}
