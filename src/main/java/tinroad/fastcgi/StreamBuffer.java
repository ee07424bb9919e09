package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.IntConsumer;

/**
 * The bytes of one stream of a request. A stream that comes in one record is a slice of the read
 * buffer until the read is over; otherwise it is a copy on the heap that grows with the stream, so
 * that many short records cost no more than one long one. Owned by the event loop.
 */
final class StreamBuffer {
    private final IntConsumer sizeListener;
    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

    /** Whether the bytes are a slice of the read buffer. */
    private boolean slice;

    /** Bytes that were reported to the listener. */
    private int reportedBytes;

    /**
     * Creates an empty buffer.
     *
     * @param sizeListener receives by how many bytes the memory of the buffer has grown or, if
     *     negative, shrunk
     */
    StreamBuffer(IntConsumer sizeListener) {
        this.sizeListener = sizeListener;
    }

    /** Appends; false, without a change, if the stream would be longer than {@code maxBytes}. */
    boolean append(ByteBuf content, int maxBytes) {
        if (bytes.readableBytes() + content.readableBytes() > maxBytes) {
            return false;
        }
        if (bytes.isReadable()) {
            copyReadBuffer();
            bytes.writeBytes(content, content.readerIndex(), content.readableBytes());
        } else {
            bytes = content.retainedSlice();
            slice = true;
        }
        reportSize();
        return true;
    }

    /** Copies the bytes if they are a slice of the read buffer. */
    void copyReadBuffer() {
        if (slice) {
            ByteBuf copy = Unpooled.buffer(bytes.readableBytes());
            copy.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
            bytes.release();
            bytes = copy;
            slice = false;
            reportSize();
        }
    }

    private void reportSize() {
        int size = slice ? bytes.readableBytes() : bytes.capacity();
        sizeListener.accept(size - reportedBytes);
        reportedBytes = size;
    }

    /** Returns a view of the bytes, valid until {@link #release}. */
    ByteBuf bytes() {
        return bytes.duplicate();
    }

    /** Releases the bytes. */
    void release() {
        bytes.release();
        bytes = Unpooled.EMPTY_BUFFER;
        slice = false;
        reportSize();
    }
}
