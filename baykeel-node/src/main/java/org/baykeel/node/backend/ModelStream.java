package org.baykeel.node.backend;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.baykeel.core.message.AttemptFailure;
import org.baykeel.core.message.AttemptId;
import org.baykeel.core.message.Payload;
import org.baykeel.core.message.Usage;
import org.baykeel.node.transport.HttpCallListener;

/**
 * Reads one stream of an engine: chat completion chunks as server-sent events. The answer is whole
 * only if both the usage and the end mark have come.
 */
final class ModelStream implements HttpCallListener {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAXIMUM_LINE_BYTES = 1 << 20;
  private static final String DATA_PREFIX = "data: ";
  private static final String END_MARK = "[DONE]";
  private static final int OK = 200;

  private final AttemptId id;
  private final BackendEvents events;
  private final EmbeddedChannel lines =
      new EmbeddedChannel(new LineBasedFrameDecoder(MAXIMUM_LINE_BYTES));
  private final ByteArrayOutputStream answer = new ByteArrayOutputStream();
  private int status;
  private boolean leaving;
  private Usage usage;
  private boolean endMark;
  private boolean broken;

  /**
   * A reader.
   *
   * @param continuation the beginning of the answer that the engine continues
   */
  ModelStream(AttemptId id, Payload continuation, BackendEvents events) {
    this.id = requireNonNull(id, "id");
    this.events = requireNonNull(events, "events");
    answer.writeBytes(continuation.array());
  }

  @Override
  public void onHead(int newStatus, HttpHeaders headers) {
    status = newStatus;
    leaving = BackendClient.saysLeaving(headers);
  }

  @Override
  public void onContent(ByteBuf content) {
    if (status != OK || broken) {
      return;
    }
    lines.writeInbound(content.retain());
    ByteBuf line = lines.readInbound();
    while (line != null) {
      String text = line.toString(StandardCharsets.UTF_8);
      line.release();
      onLine(text);
      line = lines.readInbound();
    }
  }

  private void onLine(String line) {
    if (!line.startsWith(DATA_PREFIX)) {
      return;
    }
    String data = line.substring(DATA_PREFIX.length());
    if (data.equals(END_MARK)) {
      endMark = true;
      return;
    }
    try {
      onChunk(MAPPER.readTree(data));
    } catch (IOException e) {
      broken = true;
    }
  }

  private void onChunk(JsonNode chunk) {
    String text = chunk.path("choices").path(0).path("delta").path("content").asText("");
    if (!text.isEmpty()) {
      Payload piece = Payload.of(text);
      int offset = answer.size();
      answer.writeBytes(piece.array());
      events.onText(id, offset, piece);
    }
    JsonNode counted = chunk.path("usage");
    if (counted.isObject()) {
      usage =
          new Usage(
              counted.path("prompt_tokens").asInt(),
              counted.path("completion_tokens").asInt(),
              counted.path("prompt_tokens_details").path("cached_tokens").asInt());
    }
  }

  @Override
  public void onComplete() {
    lines.finishAndReleaseAll();
    if (status == OK && endMark && usage != null && !broken) {
      events.onCompleted(id, Payload.wrap(answer.toByteArray()), usage);
    } else {
      events.onFailed(id, BackendClient.failureOf(status, leaving));
    }
  }

  @Override
  public void onFailure(boolean requestSent) {
    lines.finishAndReleaseAll();
    events.onFailed(id, requestSent ? AttemptFailure.BROKEN : AttemptFailure.NOT_TAKEN);
  }
}
