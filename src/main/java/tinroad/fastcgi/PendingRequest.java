package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import tinroad.core.Response;
import tinroad.core.ResponseSink;

/** One request on a connection, from BEGIN_REQUEST to its response. */
final class PendingRequest implements ResponseSink {
    /** A request with longer parameters is malformed. */
    static final int MAX_PARAMETER_BYTES = 16 * 1024;

    /** A request with a longer body is malformed. */
    static final int MAX_BODY_BYTES = 2 * 1024;

    final int id;
    final double begunAtMillis;
    final boolean keepConnection;
    boolean parametersComplete;

    /** Handed to the gateway, which alone answers from then on. */
    boolean handedOver;

    /** The id of the request, once it is handed over. */
    String requestId;

    private final ClientConnection connection;
    private Part parameters = Part.EMPTY;
    private Part body = Part.EMPTY;

    PendingRequest(
            ClientConnection connection, int id, double begunAtMillis, boolean keepConnection) {
        this.connection = connection;
        this.id = id;
        this.begunAtMillis = begunAtMillis;
        this.keepConnection = keepConnection;
    }

    /** Appends to the parameters; false if they exceed their bound. */
    boolean appendParameters(ByteBuf content) {
        parameters = parameters.plus(content);
        return connection.reserveBytes(content.readableBytes())
                && parameters.bytes.readableBytes() <= MAX_PARAMETER_BYTES;
    }

    /** Appends to the body; false if it exceeds its bound. */
    boolean appendBody(ByteBuf content) {
        body = body.plus(content);
        return connection.reserveBytes(content.readableBytes())
                && body.bytes.readableBytes() <= MAX_BODY_BYTES;
    }

    ByteBuf parameters() {
        return parameters.bytes.duplicate();
    }

    ByteBuf body() {
        return body.bytes.duplicate();
    }

    /** Copies what must outlive the read buffer. */
    void copyReadBuffer() {
        if (!handedOver) {
            parameters = parameters.owned();
            body = body.owned();
        }
    }

    /** Releases the parameters and the body: only the response is pending. */
    void handOver() {
        handedOver = true;
        connection.reserveBytes(-parameters.bytes.readableBytes() - body.bytes.readableBytes());
        parameters.release();
        body.release();
        parameters = Part.EMPTY;
        body = Part.EMPTY;
    }

    @Override
    public void respond(Response response) {
        connection.respond(this, response);
    }

    /** Bytes of one stream: a slice of the read buffer while one record holds them, else a copy. */
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
