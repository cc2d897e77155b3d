package org.baykeel.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.util.List;
import org.baykeel.core.message.MemberId;
import org.baykeel.core.message.Payload;

/** Puts addressing in front of an SBE message; Netty's length-field codec frames the whole. */
final class PeerFrameCodec extends MessageToMessageCodec<ByteBuf, PeerFrame> {
  @Override
  protected void encode(ChannelHandlerContext context, PeerFrame frame, List<Object> out) {
    ByteBuf buffer = context.alloc().buffer(PeerFrame.ADDRESSING_BYTES + frame.message().length());
    writeMember(buffer, frame.from());
    writeMember(buffer, frame.to());
    buffer.writeBytes(frame.message().array());
    out.add(buffer);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) {
    MemberId from = readMember(buffer);
    MemberId to = readMember(buffer);
    byte[] message = new byte[buffer.readableBytes()];
    buffer.readBytes(message);
    out.add(new PeerFrame(from, to, Payload.wrap(message)));
  }

  private static void writeMember(ByteBuf buffer, MemberId id) {
    buffer.writeInt(id.nodeId());
    buffer.writeLong(id.incarnation());
  }

  private static MemberId readMember(ByteBuf buffer) {
    int nodeId = buffer.readInt();
    return new MemberId(nodeId, buffer.readLong());
  }
}
