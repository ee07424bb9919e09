package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import tinroad.core.Response;
import tinroad.core.ResponseSink;

/** A request on a connection, from BEGIN_REQUEST to its response. */
final class PendingRequest implements ResponseSink {
    /** Memory that a begun request takes besides its parameters and its body, roughly. */
    static final int BASE_BYTES = 256;

    /** A request with longer parameters is malformed. */
    static final int MAX_PARAMETER_BYTES = 16 * 1024;

    /** A request with a longer body is malformed. */
    static final int MAX_BODY_BYTES = 2 * 1024;

    /** The request id of FastCGI, unique among the open requests of its connection. */
    final int id;

    /** When BEGIN_REQUEST was read, in Unix ms. */
    final double startedAtMillis;

    final boolean keepConnection;
    boolean parametersComplete;

    /** Whether the request is handed to the gateway, which alone answers it from then on. */
    boolean handedOver;

    /** The gateway's id of the request, set once it is handed over. */
    String requestId;

    private final ClientConnection connection;
    private StreamBytes parameters = StreamBytes.EMPTY;
    private StreamBytes body = StreamBytes.EMPTY;

    /** Bytes that are counted as partial input. */
    private int heldBytes;

    PendingRequest(
            ClientConnection connection, int id, double startedAtMillis, boolean keepConnection) {
        this.connection = connection;
        this.id = id;
        this.startedAtMillis = startedAtMillis;
        this.keepConnection = keepConnection;
        hold(BASE_BYTES);
    }

    private void hold(int bytes) {
        heldBytes += bytes;
        connection.holdPartialInput(bytes);
    }

    /** Appends to the parameters; false if they exceed their bound. */
    boolean appendParameters(ByteBuf content) {
        parameters = parameters.append(content);
        hold(content.readableBytes());
        return parameters.bytes.readableBytes() <= MAX_PARAMETER_BYTES;
    }

    /** Appends to the body; false if it exceeds its bound. */
    boolean appendBody(ByteBuf content) {
        body = body.append(content);
        hold(content.readableBytes());
        return body.bytes.readableBytes() <= MAX_BODY_BYTES;
    }

    ByteBuf parameters() {
        return parameters.bytes.duplicate();
    }

    ByteBuf body() {
        return body.bytes.duplicate();
    }

    /** Copies the parameters and the body if they are slices of the read buffer. */
    void copyReadBuffer() {
        if (!handedOver) {
            parameters = parameters.copyIfSlice();
            body = body.copyIfSlice();
        }
    }

    /** Releases the parameters and the body, which are not needed while the response is pending. */
    void handOver() {
        handedOver = true;
        hold(-heldBytes);
        parameters.release();
        body.release();
        parameters = StreamBytes.EMPTY;
        body = StreamBytes.EMPTY;
    }

    @Override
    public void respond(Response response) {
        connection.respond(this, response);
    }

    /**
     * The bytes of one stream: a slice of the read buffer if they came in one record, otherwise a
     * copy.
     */
    private record StreamBytes(ByteBuf bytes, boolean slice) {
        static final StreamBytes EMPTY = new StreamBytes(Unpooled.EMPTY_BUFFER, false);

        StreamBytes append(ByteBuf content) {
            if (!bytes.isReadable()) {
                return new StreamBytes(content.retainedSlice(), true);
            }
            byte[] joined = new byte[bytes.readableBytes() + content.readableBytes()];
            bytes.getBytes(bytes.readerIndex(), joined, 0, bytes.readableBytes());
            content.getBytes(
                    content.readerIndex(), joined, bytes.readableBytes(), content.readableBytes());
            release();
            return new StreamBytes(Unpooled.wrappedBuffer(joined), false);
        }

        StreamBytes copyIfSlice() {
            if (!slice) {
                return this;
            }
            StreamBytes copy =
                    new StreamBytes(Unpooled.wrappedBuffer(ByteBufUtil.getBytes(bytes)), false);
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
