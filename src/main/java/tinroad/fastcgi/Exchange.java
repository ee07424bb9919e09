package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import tinroad.core.Response;
import tinroad.core.ResponseSink;

/** One request on a connection, from BEGIN_REQUEST to its answer. */
final class Exchange implements ResponseSink {
    /** Bounds of what is put together; a request beyond them is malformed. */
    static final int MOST_PARAMS = 16 * 1024;

    static final int MOST_BODY = 2 * 1024;

    final int id;
    final double begunAt;
    final boolean keepConnection;
    boolean paramsWhole;

    /** Handed to the gateway: from then on it alone answers. */
    boolean handed;

    /** The id of the request in it, once it is handed over. */
    String requestId;

    private final FrontConnection connection;
    private Part params = Part.EMPTY;
    private Part body = Part.EMPTY;

    Exchange(FrontConnection connection, int id, double begunAt, boolean keepConnection) {
        this.connection = connection;
        this.id = id;
        this.begunAt = begunAt;
        this.keepConnection = keepConnection;
    }

    /** Adds to the parameters; false where they grow too long. */
    boolean addParams(ByteBuf content) {
        params = params.plus(content);
        return connection.reserve(content.readableBytes())
                && params.bytes.readableBytes() <= MOST_PARAMS;
    }

    /** Adds to the body; false where it grows too long. */
    boolean addBody(ByteBuf content) {
        body = body.plus(content);
        return connection.reserve(content.readableBytes())
                && body.bytes.readableBytes() <= MOST_BODY;
    }

    ByteBuf params() {
        return params.bytes.duplicate();
    }

    ByteBuf body() {
        return body.bytes.duplicate();
    }

    /** Copies what must outlive the buffer that is being read. */
    void outliveRead() {
        if (!handed) {
            params = params.owned();
            body = body.owned();
        }
    }

    /** Lets go of what was read: from here on only the answer counts. */
    void handOver() {
        handed = true;
        connection.reserve(-params.bytes.readableBytes() - body.bytes.readableBytes());
        params.release();
        body.release();
        params = Part.EMPTY;
        body = Part.EMPTY;
    }

    @Override
    public void respond(Response answer) {
        connection.answer(this, answer);
    }

    /**
     * Bytes of one stream: a slice of the read buffer as long as one record holds them, else a
     * copy.
     */
    private record Part(ByteBuf bytes, boolean slice) {
        static final Part EMPTY = new Part(Unpooled.EMPTY_BUFFER, false);

        Part plus(ByteBuf content) {
            if (!bytes.isReadable()) {
                return new Part(content.retainedSlice(), true);
            }
            byte[] joined = new byte[bytes.readableBytes() + content.readableBytes()];
            bytes.getBytes(bytes.readerIndex(), joined, 0, bytes.readableBytes());
            content.getBytes(
                    content.readerIndex(), joined, bytes.readableBytes(), content.readableBytes());
            release();
            return new Part(Unpooled.wrappedBuffer(joined), false);
        }

        Part owned() {
            if (!slice) {
                return this;
            }
            Part copy = new Part(Unpooled.wrappedBuffer(ByteBufUtil.getBytes(bytes)), false);
            release();
            return copy;
        }

        void release() {
            if (slice) {
                bytes.release();
            }
        }
    }
}
