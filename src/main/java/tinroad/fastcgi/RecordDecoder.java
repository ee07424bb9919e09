package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;
import java.nio.ByteOrder;

/**
 * Splits the input into records, header and padding included, as slices of the read buffer. A
 * record of another version means that the framing is lost: {@link #FRAMING_LOST} is fired after
 * all records before it, and all further input is discarded. A record that is too long is skipped,
 * and {@link TooLong} fired.
 */
final class RecordDecoder extends LengthFieldBasedFrameDecoder {
    /** The user event for lost framing. */
    static final Object FRAMING_LOST = new Object();

    /**
     * Bounds what one connection can have in a partial record; no stream of a good request is
     * longer.
     */
    static final int MAX_CONTENT_BYTES = 16 * 1024;

    private static final int ID_OFFSET = 2;
    private static final int LENGTH_OFFSET = 4;

    /**
     * Content length, padding length and a reserved byte: read together, so that the header is
     * whole by then.
     */
    private static final int LENGTH_SIZE = 4;

    private static final int PADDING_OFFSET = 6;
    private static final int MAX_PADDING_BYTES = 255;

    private boolean framingLost;
    private int id;

    /** The user event for a record that was skipped. */
    record TooLong(int id) {}

    RecordDecoder() {
        super(
                FastCgi.HEADER_BYTES + MAX_CONTENT_BYTES + MAX_PADDING_BYTES,
                LENGTH_OFFSET,
                LENGTH_SIZE,
                0,
                0);
    }

    @Override
    protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
        if (framingLost) {
            in.skipBytes(in.readableBytes());
            return null;
        }
        Object record = null;
        try {
            record = super.decode(ctx, in);
        } catch (TooLongFrameException e) {
            ctx.fireUserEventTriggered(new TooLong(id));
        }
        if (framingLost) {
            ReferenceCountUtil.release(record);
            ctx.fireUserEventTriggered(FRAMING_LOST);
            return null;
        }
        return record;
    }

    /** Called once for each record, when its header has come in. */
    @Override
    protected long getUnadjustedFrameLength(ByteBuf buf, int offset, int length, ByteOrder order) {
        framingLost |= buf.getByte(offset - LENGTH_OFFSET) != FastCgi.VERSION;
        id = buf.getUnsignedShort(offset - LENGTH_OFFSET + ID_OFFSET);
        return framingLost
                ? 0
                : buf.getUnsignedShort(offset)
                        + (long) buf.getUnsignedByte(offset + PADDING_OFFSET - LENGTH_OFFSET);
    }

    /** Discards all further input. */
    void discardInput() {
        framingLost = true;
    }

    /** Whether a record has arrived in part. */
    boolean midRecord() {
        return actualReadableBytes() > 0;
    }
}
