package org.baykeel.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.baykeel.gateway.telemetry.LoopWork;

/** Stands first in a pipeline and measures the time that the bytes of its connection take. */
final class TimedReads extends ChannelInboundHandlerAdapter {
  private final LoopWork work;
  private final LoopWork.Kind kind;

  TimedReads(LoopWork work, LoopWork.Kind kind) {
    this.work = work;
    this.kind = kind;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    work.measure(kind, () -> context.fireChannelRead(message));
  }
}
