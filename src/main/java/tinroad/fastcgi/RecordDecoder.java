package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Splits the input into FastCGI records, including header and padding. Complete records are slices
 * of the read buffer. A partial record is copied to the heap, so that it keeps no read buffer
 * alive: those are direct memory, of which there is little, and may be far larger than the record.
 *
 * <p>A record of another protocol version means that the framing is lost: {@link #FRAMING_LOST} is
 * fired after all records before it, and all further input is discarded. A record that is too long
 * is skipped, and {@link TooLong} is fired.
 */
final class RecordDecoder extends ChannelInboundHandlerAdapter {
    /** The user event that is fired when the framing is lost. */
    static final Object FRAMING_LOST = new Object();

    /**
     * Upper bound of a record's content, which limits the memory of a connection's partial record.
     * No stream of a valid request is longer.
     */
    static final int MAX_CONTENT_BYTES = 16 * 1024;

    /**
     * Upper bound of the content of a BEGIN_REQUEST, whose partial record is never skipped; a valid
     * one has 8 bytes.
     */
    private static final int MAX_BEGIN_CONTENT_BYTES = 64;

    private static final int TYPE_OFFSET = 1;
    private static final int ID_OFFSET = 2;
    private static final int CONTENT_LENGTH_OFFSET = 4;
    private static final int PADDING_LENGTH_OFFSET = 6;
    private static final int MAX_PADDING_BYTES = 255;
    private static final int MAX_RECORD_BYTES =
            FastCgi.HEADER_BYTES + MAX_CONTENT_BYTES + MAX_PADDING_BYTES;

    /** Upper bound of a BEGIN_REQUEST with its header and padding. */
    static final int MAX_BEGIN_RECORD_BYTES =
            FastCgi.HEADER_BYTES + MAX_BEGIN_CONTENT_BYTES + MAX_PADDING_BYTES;

    /** The user event that is fired when a record was skipped because it is too long. */
    record TooLong(int type, int recordId) {}

    /** Is notified of what the decoder does. */
    interface Listener {
        /** Called when the size of the buffer of the partial record has changed. */
        void bufferResized(int addedBytes);

        /** Called when all bytes of one read have been decoded. */
        void inputDecoded(int bytes);
    }

    private final Listener listener;

    /** The partial record on the heap; null if there is none. */
    private ByteBuf partialRecord;

    /** Bytes of the current record that are still to be skipped. */
    private int bytesToSkip;

    /** Whether all further input is discarded. */
    private boolean discarding;

    RecordDecoder(Listener listener) {
        this.listener = listener;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf in = (ByteBuf) message;
        int bytes = in.readableBytes();
        try {
            while (in.isReadable() && !discarding) {
                decode(context, in);
            }
        } finally {
            in.release();
        }
        listener.inputDecoded(bytes);
    }

    /** Consumes at least one byte. */
    private void decode(ChannelHandlerContext context, ByteBuf in) {
        if (bytesToSkip > 0) {
            int skipped = Math.min(bytesToSkip, in.readableBytes());
            bytesToSkip -= skipped;
            in.skipBytes(skipped);
        } else if (partialRecord != null) {
            completePartialRecord(context, in);
        } else if (in.readableBytes() < FastCgi.HEADER_BYTES) {
            beginPartialRecord(in, in.readableBytes());
        } else if (checkHeader(context, in)) {
            int recordBytes = recordBytes(in);
            if (in.readableBytes() >= recordBytes) {
                context.fireChannelRead(in.readRetainedSlice(recordBytes));
            } else {
                beginPartialRecord(in, in.readableBytes());
            }
        }
    }

    private void beginPartialRecord(ByteBuf in, int length) {
        partialRecord = Unpooled.buffer(length, MAX_RECORD_BYTES);
        listener.bufferResized(partialRecord.capacity());
        append(in, length);
    }

    /** Appends to the partial record, and passes it on if it is complete. */
    private void completePartialRecord(ChannelHandlerContext context, ByteBuf in) {
        if (partialRecord.readableBytes() < FastCgi.HEADER_BYTES) {
            append(in, FastCgi.HEADER_BYTES - partialRecord.readableBytes());
            if (partialRecord.readableBytes() < FastCgi.HEADER_BYTES
                    || !checkHeader(context, partialRecord)) {
                return;
            }
        }
        append(in, recordBytes(partialRecord) - partialRecord.readableBytes());
        if (partialRecord.readableBytes() == recordBytes(partialRecord)) {
            ByteBuf record = partialRecord;
            partialRecord = null;
            listener.bufferResized(-record.capacity());
            context.fireChannelRead(record);
        }
    }

    private void append(ByteBuf in, int missingBytes) {
        int capacityBefore = partialRecord.capacity();
        partialRecord.writeBytes(in, Math.min(missingBytes, in.readableBytes()));
        listener.bufferResized(partialRecord.capacity() - capacityBefore);
    }

    /** Returns whether the header begins a record that is decoded; otherwise consumes it. */
    private boolean checkHeader(ChannelHandlerContext context, ByteBuf header) {
        if (header.getByte(header.readerIndex()) != FastCgi.VERSION) {
            discardInput();
            context.fireUserEventTriggered(FRAMING_LOST);
            return false;
        }
        if (recordBytes(header) > maxRecordBytes(header)) {
            TooLong tooLong = new TooLong(recordType(header), recordId(header));
            int consumedBytes = partialRecord == null ? 0 : partialRecord.readableBytes();
            bytesToSkip = recordBytes(header) - consumedBytes;
            releasePartialRecord();
            context.fireUserEventTriggered(tooLong);
            return false;
        }
        return true;
    }

    private static int maxRecordBytes(ByteBuf header) {
        return recordType(header) == FastCgi.BEGIN_REQUEST
                ? MAX_BEGIN_RECORD_BYTES
                : MAX_RECORD_BYTES;
    }

    private static int recordType(ByteBuf header) {
        return header.getUnsignedByte(header.readerIndex() + TYPE_OFFSET);
    }

    private static int recordBytes(ByteBuf header) {
        return FastCgi.HEADER_BYTES
                + header.getUnsignedShort(header.readerIndex() + CONTENT_LENGTH_OFFSET)
                + header.getUnsignedByte(header.readerIndex() + PADDING_LENGTH_OFFSET);
    }

    private static int recordId(ByteBuf header) {
        return header.getUnsignedShort(header.readerIndex() + ID_OFFSET);
    }

    /** Discards all further input. */
    void discardInput() {
        discarding = true;
        releasePartialRecord();
    }

    /** Whether part of a record has arrived that is not skipped. */
    boolean midRecord() {
        return partialRecord != null;
    }

    private boolean hasPartialHeader() {
        return partialRecord != null && partialRecord.readableBytes() < FastCgi.HEADER_BYTES;
    }

    /**
     * Whether the partial record begins a request, or may do so as its header is not complete. Such
     * a record is not skipped: nobody else would answer its request.
     */
    boolean partialRecordMayBeginRequest() {
        return hasPartialHeader()
                || (partialRecord != null && recordType(partialRecord) == FastCgi.BEGIN_REQUEST);
    }

    /** The request id of the partial record; 0 if its header is not complete. */
    int partialRecordId() {
        return partialRecord == null || hasPartialHeader() ? 0 : recordId(partialRecord);
    }

    /**
     * Releases the partial record and skips the rest of it, unless it may begin a request. Then it
     * is kept, which takes {@link #MAX_BEGIN_RECORD_BYTES} at most.
     */
    void skipPartialRecord() {
        if (partialRecord != null && !partialRecordMayBeginRequest()) {
            bytesToSkip = recordBytes(partialRecord) - partialRecord.readableBytes();
            releasePartialRecord();
        }
    }

    private void releasePartialRecord() {
        if (partialRecord != null) {
            ByteBuf released = partialRecord;
            partialRecord = null;
            listener.bufferResized(-released.capacity());
            released.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        releasePartialRecord();
        context.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        releasePartialRecord();
    }
}
