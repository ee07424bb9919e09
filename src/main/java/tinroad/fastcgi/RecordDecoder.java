package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.ReferenceCountUtil;
import java.nio.ByteOrder;

/**
 * Splits the input into FastCGI records, including header and padding, as slices of the read
 * buffer. A record of another protocol version means that the framing is lost: {@link
 * #FRAMING_LOST} is fired after all records before it, and all further input is discarded. A record
 * that is too long is skipped, and {@link TooLong} is fired.
 */
final class RecordDecoder extends LengthFieldBasedFrameDecoder {
    /** The user event that is fired when the framing is lost. */
    static final Object FRAMING_LOST = new Object();

    /**
     * Upper bound of a record's content, which limits the memory of a connection's partial record.
     * No stream of a valid request is longer.
     */
    static final int MAX_CONTENT_BYTES = 16 * 1024;

    private static final int ID_OFFSET = 2;
    private static final int LENGTH_OFFSET = 4;

    /**
     * Size of the content length, the padding length and a reserved byte. They are read together,
     * so that the header is complete when the length is known.
     */
    private static final int LENGTH_SIZE = 4;

    private static final int PADDING_OFFSET = 6;
    private static final int MAX_PADDING_BYTES = 255;

    /** Whether all further input is discarded. */
    private boolean framingLost;

    /** Request id in the header of the latest record. */
    private int recordId;

    /** The user event that is fired when a record was skipped because it is too long. */
    record TooLong(int recordId) {}

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
            ctx.fireUserEventTriggered(new TooLong(recordId));
        }
        if (framingLost) {
            ReferenceCountUtil.release(record);
            ctx.fireUserEventTriggered(FRAMING_LOST);
            return null;
        }
        return record;
    }

    /** Called once for each record, when its header is complete. */
    @Override
    protected long getUnadjustedFrameLength(ByteBuf buf, int offset, int length, ByteOrder order) {
        framingLost |= buf.getByte(offset - LENGTH_OFFSET) != FastCgi.VERSION;
        recordId = buf.getUnsignedShort(offset - LENGTH_OFFSET + ID_OFFSET);
        return framingLost
                ? 0
                : buf.getUnsignedShort(offset)
                        + (long) buf.getUnsignedByte(offset + PADDING_OFFSET - LENGTH_OFFSET);
    }

    /** Discards all further input. */
    void discardInput() {
        framingLost = true;
    }

    /** Whether part of a record has arrived. */
    boolean midRecord() {
        return actualReadableBytes() > 0;
    }
}
