package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
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

    /** Whether the request was answered as invalid. */
    boolean invalid;

    /** The gateway's id of the request, set once it is handed over. */
    String requestId;

    private final ClientConnection connection;
    private final StreamBuffer parameters = new StreamBuffer(this::hold);
    private final StreamBuffer body = new StreamBuffer(this::hold);

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

    /** Appends to the parameters; false if they would exceed their bound. */
    boolean appendParameters(ByteBuf content) {
        return parameters.append(content, MAX_PARAMETER_BYTES);
    }

    /** Appends to the body; false if it would exceed its bound. */
    boolean appendBody(ByteBuf content) {
        return body.append(content, MAX_BODY_BYTES);
    }

    ByteBuf parameters() {
        return parameters.bytes();
    }

    ByteBuf body() {
        return body.bytes();
    }

    /** Copies the parameters and the body if they are slices of the read buffer. */
    void copyReadBuffer() {
        if (!handedOver) {
            parameters.copyReadBuffer();
            body.copyReadBuffer();
        }
    }

    /** Releases the parameters and the body, which are not needed while the response is pending. */
    void handOver() {
        handedOver = true;
        parameters.release();
        body.release();
        hold(-heldBytes);
    }

    @Override
    public void respond(Response response) {
        connection.respond(this, response);
    }
}
