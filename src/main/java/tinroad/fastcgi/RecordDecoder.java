package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.nio.ByteOrder;

/**
 * Cuts what comes in into records, header and padding included, as slices of the buffer that they were read
 * into. A record of another version means that the framing is lost: {@link #BROKEN} is fired after all records
 * before it, and what follows is thrown away.
 */
final class RecordDecoder extends LengthFieldBasedFrameDecoder {
    /** The user event for lost framing. */
    static final Object BROKEN = new Object();

    private static final int LENGTH_AT = 4;
    private static final int PADDING_AT = 6;
    private static final int LARGEST = FastCgi.HEADER + FastCgi.LARGEST_CONTENT + 255;

    private boolean broken;

    RecordDecoder() {
        super(LARGEST, LENGTH_AT, 2, FastCgi.HEADER - PADDING_AT, 0);
    }

    @Override
    protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
        if (!broken && in.isReadable() && in.getByte(in.readerIndex()) != FastCgi.VERSION) {
            broken = true;
            ctx.fireUserEventTriggered(BROKEN);
        }
        if (broken) {
            in.skipBytes(in.readableBytes());
            return null;
        }
        return in.readableBytes() < FastCgi.HEADER ? null : super.decode(ctx, in);
    }

    /** The padding, one byte on from the length, belongs to the record. */
    @Override
    protected long getUnadjustedFrameLength(ByteBuf buf, int offset, int length, ByteOrder order) {
        return buf.getUnsignedShort(offset) + (long) buf.getUnsignedByte(offset + PADDING_AT - LENGTH_AT);
    }

    /** Whether a record has begun to come in and is not whole yet. */
    boolean midRecord() {
        return actualReadableBytes() > 0;
    }
}
