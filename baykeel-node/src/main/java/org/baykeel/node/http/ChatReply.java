package org.baykeel.node.http;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.baykeel.core.message.CallerReply;

/** Turns the pieces of a model call's answer into OpenAI's format, streamed or whole. */
final class ChatReply implements ReplySink {
  private static final String ROLE = "assistant";

  private final HttpExchange exchange;
  private final ChatRequest request;
  private final String id;
  private final long createdSeconds;
  private int sentBytes;

  ChatReply(HttpExchange exchange, ChatRequest request, String id, long createdSeconds) {
    this.exchange = requireNonNull(exchange, "exchange");
    this.request = requireNonNull(request, "request");
    this.id = requireNonNull(id, "id");
    this.createdSeconds = createdSeconds;
  }

  @Override
  public void onReply(CallerReply reply) {
    if (reply instanceof CallerReply.Chunk chunk) {
      if (request.stream()) {
        sendText(chunk.text().text(), chunk.text().length());
      }
    } else if (reply instanceof CallerReply.Completed completed) {
      complete(completed);
    } else if (reply instanceof CallerReply.Failed failed) {
      exchange.error(failed.kind(), failed.detail(), failed.retryAfterMillis());
    }
  }

  private void sendText(String text, int bytes) {
    exchange.beginStream();
    ChatFormat.Delta delta = new ChatFormat.Delta(sentBytes == 0 ? ROLE : null, text);
    sentBytes += bytes;
    exchange.event(chunk(List.of(new ChatFormat.ChunkChoice(0, delta, null)), null));
  }

  private void complete(CallerReply.Completed completed) {
    ChatFormat.UsageCount usage = ChatFormat.usage(completed.usage(), completed.cost());
    if (!request.stream()) {
      ChatFormat.Message message = new ChatFormat.Message(ROLE, completed.answer().text());
      ChatFormat.Choice choice = new ChatFormat.Choice(0, message, "stop");
      exchange.json(
          200,
          new ChatFormat.Completion(
              id, "chat.completion", createdSeconds, request.model(), List.of(choice), usage));
      return;
    }
    if (completed.answer().length() > sentBytes) {
      String rest = completed.answer().from(sentBytes).text();
      sendText(rest, completed.answer().length() - sentBytes);
    }
    exchange.beginStream();
    ChatFormat.Delta nothing = new ChatFormat.Delta(null, null);
    exchange.event(chunk(List.of(new ChatFormat.ChunkChoice(0, nothing, "stop")), null));
    if (request.includeUsage()) {
      exchange.event(chunk(List.of(), usage));
    }
    exchange.event("[DONE]");
    exchange.endStream();
  }

  private ChatFormat.Chunk chunk(
      List<ChatFormat.ChunkChoice> choices, ChatFormat.UsageCount usage) {
    return new ChatFormat.Chunk(
        id, "chat.completion.chunk", createdSeconds, request.model(), choices, usage);
  }
}
