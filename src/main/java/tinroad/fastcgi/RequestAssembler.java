package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.util.collection.IntObjectMap;
import tinroad.core.Gateway;
import tinroad.core.IncomingRequest;
import tinroad.core.Progress;
import tinroad.core.Response;

/**
 * Assembles the requests of one connection from FastCGI records and hands them to the gateway. What
 * becomes of the connection, and all output, is {@link ClientConnection}'s. Owned by the event
 * loop.
 */
final class RequestAssembler {
    /**
     * Upper bound of the open requests of one connection. Clients open at most 32, but requests
     * that they abandon without notice stay open until they are answered.
     */
    static final int MAX_OPEN_REQUESTS = 64;

    /** Upper bound of the bytes outside of requests; stops clients that send them without end. */
    static final int MAX_STRAY_BYTES = 64 * 1024;

    private final ClientConnection connection;
    private final FastCgiFrontend frontend;
    private final Gateway gateway;
    private final IntObjectMap<PendingRequest> openRequests;
    private final ConnectionUse usage;
    private final InputThrottle.Meter inputMeter;

    /** Bytes since the last complete request that belong to no request. */
    private int strayBytes;

    RequestAssembler(
            ClientConnection connection,
            FastCgiFrontend frontend,
            Gateway gateway,
            IntObjectMap<PendingRequest> openRequests,
            ConnectionUse usage,
            InputThrottle.Meter inputMeter) {
        this.connection = connection;
        this.frontend = frontend;
        this.gateway = gateway;
        this.openRequests = openRequests;
        this.usage = usage;
        this.inputMeter = inputMeter;
    }

    /** Handles one complete record. */
    void read(ByteBuf record) {
        int type = record.getUnsignedByte(1);
        int id = record.getUnsignedShort(2);
        ByteBuf content = record.slice(FastCgi.HEADER_BYTES, record.getUnsignedShort(4));
        if (id == 0) {
            handleManagementRecord(type, content);
        } else if (type == FastCgi.BEGIN_REQUEST) {
            beginRequest(id, content);
        } else {
            PendingRequest request = openRequests.get(id);
            // FastCGI requires that records without an open request, or after its end, are ignored.
            if (request != null && !request.handedOver) {
                appendToStream(type, request, content);
            } else if (request != null && type == FastCgi.ABORT_REQUEST) {
                gateway.cancel(request.requestId, request);
            } else {
                countStrayBytes(record.readableBytes());
            }
        }
    }

    /** Answers the request of a record that was skipped because it is too long. */
    void skippedTooLong(int type, int id) {
        PendingRequest request = openRequests.get(id);
        if (request != null && !request.handedOver) {
            connection.respond(request, Response.invalid());
        } else if (request == null && type == FastCgi.BEGIN_REQUEST && id != 0) {
            refuse(id, FastCgi.UNKNOWN_ROLE);
        }
    }

    private void countStrayBytes(int bytes) {
        strayBytes += bytes;
        if (strayBytes > MAX_STRAY_BYTES) {
            connection.rejectUnreadable();
        }
    }

    private void handleManagementRecord(int type, ByteBuf content) {
        countStrayBytes(content.readableBytes());
        connection.send(
                ManagementRecords.reply(
                        connection.allocator(), type, content, frontend.maxConnections()));
    }

    private void beginRequest(int id, ByteBuf content) {
        PendingRequest openRequest = openRequests.get(id);
        if (openRequest != null) {
            // The id of an open request is ambiguous; the request in flight gets its one response.
            if (!openRequest.handedOver) {
                rejectMalformed(openRequest);
            }
            connection.reject();
        } else if (!connection.acceptsRequests()) {
            // Each request that is written before the client sees the end gets an answer.
            strayBytes = 0;
            refuseUnread(id);
        } else if (content.readableBytes() < FastCgi.BEGIN_REQUEST_BODY_BYTES
                || content.getUnsignedShort(0) != FastCgi.RESPONDER) {
            refuse(id, FastCgi.UNKNOWN_ROLE);
        } else if (openRequests.size() >= MAX_OPEN_REQUESTS) {
            refuseUnread(id);
        } else {
            openRequests.put(
                    id,
                    new PendingRequest(
                            connection,
                            id,
                            frontend.nowMillis(),
                            (content.getUnsignedByte(2) & FastCgi.KEEP_CONN) != 0));
        }
    }

    /**
     * Refuses a request that was not read. It fails if it may be a further attempt of a keyed
     * request: an earlier one may have run, and then none may be refused.
     */
    private void refuseUnread(int id) {
        if (gateway.hasKeyedClass()) {
            connection.send(
                    ResponseWriter.response(
                            connection.allocator(),
                            id,
                            Response.failed(Progress.NOT_SENT),
                            gateway.loadLevel()));
        } else {
            refuse(id, FastCgi.OVERLOADED);
        }
    }

    private void refuse(int id, int protocolStatus) {
        connection.send(ResponseWriter.endOfRequest(connection.allocator(), id, protocolStatus));
    }

    private void appendToStream(int type, PendingRequest request, ByteBuf content) {
        boolean endOfStream = !content.isReadable();
        switch (type) {
            case FastCgi.PARAMS -> {
                if (endOfStream) {
                    request.parametersComplete = true;
                } else if (request.parametersComplete || !request.appendParameters(content)) {
                    rejectMalformed(request);
                }
            }
            case FastCgi.STDIN -> {
                if (endOfStream) {
                    completeRequest(request);
                } else if (!request.appendBody(content)) {
                    rejectMalformed(request);
                }
            }
            case FastCgi.ABORT_REQUEST -> connection.respond(request, Response.invalid());
            default -> {}
        }
    }

    private void completeRequest(PendingRequest request) {
        strayBytes = 0;
        RequestParameters parameters =
                request.parametersComplete ? RequestParameters.read(request.parameters()) : null;
        if (parameters != null && parameters.isHealthCheck()) {
            usage.carriedHealthCheck();
            inputMeter.validRequestCompleted();
            connection.write(
                    request,
                    ResponseWriter.healthResponse(
                            connection.allocator(),
                            request.id,
                            gateway.healthy(),
                            gateway.loadLevel()));
            return;
        }
        IncomingRequest incoming =
                parameters == null ? null : parameters.toIncomingRequest(request.body());
        if (incoming == null) {
            inputMeter.invalidRequestCompleted();
            connection.respond(request, Response.invalid());
            return;
        }
        request.requestId = incoming.id();
        gateway.handle(incoming, request);
        if (request.invalid) {
            inputMeter.invalidRequestCompleted();
        } else {
            usage.carriedRequest();
            inputMeter.validRequestCompleted();
        }
        request.handOver();
    }

    /**
     * Answers a malformed request as invalid and rejects the connection, because no client proxy
     * sends such requests.
     */
    private void rejectMalformed(PendingRequest request) {
        connection.respond(request, Response.invalid());
        connection.reject();
    }
}
