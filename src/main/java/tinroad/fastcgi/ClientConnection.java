package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.collection.IntObjectHashMap;
import io.netty.util.collection.IntObjectMap;
import java.util.Comparator;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.core.Gateway;
import tinroad.core.IncomingRequest;
import tinroad.core.Response;

/**
 * One connection of a client proxy: assembles requests from records, hands them to the gateway and
 * writes the responses. Owned by the event loop. Knows nothing of a request's priority or deadline.
 */
@SuppressWarnings(
        "FutureReturnValueIgnored") // A failed write closes the channel: see channelInactive.
final class ClientConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /**
     * Open requests of one connection. Clients keep to 32, but requests that they abandon silently
     * stay open until they are answered.
     */
    static final int MAX_OPEN_REQUESTS = 64;

    /**
     * Bytes between complete requests that belong to none of them; guards against endless records.
     */
    static final int MAX_STRAY_BYTES = 64 * 1024;

    /**
     * The order of eviction: lingering ones first, then those that carried no request, then the
     * longest unused.
     */
    static final Comparator<ClientConnection> EVICTION_ORDER =
            Comparator.comparing((ClientConnection connection) -> !connection.linger.lingering())
                    .thenComparing(connection -> connection.use.carriesRequests())
                    .thenComparingDouble(connection -> connection.use.lastUsefulMillis());

    private static final Logger LOG = LoggerFactory.getLogger("front");

    private final FastCgiFrontend frontend;
    private final Gateway gateway;
    private final RecordDecoder decoder;
    private final IntObjectMap<PendingRequest> openRequests = new IntObjectHashMap<>();
    private final ConnectionUse use = new ConnectionUse();
    private ChannelHandlerContext handlerContext;
    private boolean closeWhenDone;
    private boolean idleInLastPass;

    /** Complete records read so far. */
    private int recordsRead;

    /** The value of {@link #recordsRead} when the present partial record was first seen. */
    private int recordsBeforePartial = -1;

    /** When the present partial record was first seen, in Unix ms; valid in mid-record only. */
    private double partialSinceMillis;

    private boolean overdueInLastPass;
    private boolean rejecting;

    /** Its last response is written and its output shut down; further input is discarded. */
    private final LingerTimer linger = new LingerTimer();

    private int strayBytes;

    ClientConnection(FastCgiFrontend frontend, Gateway gateway, RecordDecoder decoder) {
        this.frontend = frontend;
        this.gateway = gateway;
        this.decoder = decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        handlerContext = context;
        use.opened(frontend.nowMillis());
        idleInLastPass = false;
        frontend.connectionOpened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf record) {
        recordsRead++;
        int type = record.getUnsignedByte(1);
        int id = record.getUnsignedShort(2);
        ByteBuf content = record.slice(FastCgi.HEADER_BYTES, record.getUnsignedShort(4));
        if (id == 0) {
            management(type, content);
        } else if (type == FastCgi.BEGIN_REQUEST) {
            beginRequest(id, content);
        } else {
            PendingRequest request = openRequests.get(id);
            // FastCGI: records of no open request, or after its end, are ignored.
            if (request != null && !request.handedOver) {
                appendToStream(type, request, content);
            } else if (request != null && type == FastCgi.ABORT_REQUEST) {
                gateway.cancel(request.requestId, request);
            } else {
                countStray(record.readableBytes());
            }
        }
    }

    private void countStray(int bytes) {
        strayBytes += bytes;
        if (strayBytes > MAX_STRAY_BYTES) {
            rejectConnection();
        }
    }

    private void management(int type, ByteBuf content) {
        countStray(content.readableBytes());
        ByteBuf reply =
                ManagementRecords.reply(
                        handlerContext.alloc(), type, content, frontend.maxConnections());
        handlerContext.writeAndFlush(reply);
    }

    private void beginRequest(int id, ByteBuf content) {
        PendingRequest before = openRequests.get(id);
        if (before != null) {
            // A request id that is still open is ambiguous: the request in flight keeps its one
            // response.
            if (!before.handedOver) {
                rejectMalformed(before);
            }
            rejectConnection();
            return;
        }
        if (content.readableBytes() < FastCgi.BEGIN_BODY_BYTES
                || content.getUnsignedShort(0) != FastCgi.RESPONDER) {
            handlerContext.writeAndFlush(
                    ResponseWriter.end(handlerContext.alloc(), id, FastCgi.UNKNOWN_ROLE));
        } else if (openRequests.size() >= MAX_OPEN_REQUESTS) {
            handlerContext.writeAndFlush(
                    ResponseWriter.end(handlerContext.alloc(), id, FastCgi.OVERLOADED));
        } else if (!closeWhenDone) {
            openRequests.put(
                    id,
                    new PendingRequest(
                            this,
                            id,
                            frontend.nowMillis(),
                            (content.getUnsignedByte(2) & FastCgi.KEEP_CONN) != 0));
        }
    }

    private void appendToStream(int type, PendingRequest request, ByteBuf content) {
        boolean ends = !content.isReadable();
        switch (type) {
            case FastCgi.PARAMS -> {
                if (ends) {
                    request.parametersComplete = true;
                } else if (request.parametersComplete || !request.appendParameters(content)) {
                    rejectMalformed(request);
                }
            }
            case FastCgi.STDIN -> {
                if (ends) {
                    requestComplete(request);
                } else if (!request.appendBody(content)) {
                    rejectMalformed(request);
                }
            }
            case FastCgi.ABORT_REQUEST -> respond(request, Response.invalid());
            default -> {}
        }
    }

    private void requestComplete(PendingRequest request) {
        strayBytes = 0;
        RequestParameters parameters =
                request.parametersComplete ? RequestParameters.read(request.parameters()) : null;
        if (parameters != null && parameters.isHealthCheck()) {
            use.carriedHealthCheck();
            write(
                    request,
                    ResponseWriter.health(
                            handlerContext.alloc(),
                            request.id,
                            gateway.healthy(),
                            gateway.loadLevel()));
            return;
        }
        use.carriedRequest();
        IncomingRequest incoming =
                parameters == null ? null : parameters.toIncomingRequest(request.body());
        if (incoming == null) {
            respond(request, Response.invalid());
            return;
        }
        request.requestId = incoming.id();
        gateway.handle(incoming, request);
        request.handOver();
    }

    /**
     * Answers a malformed request and rejects the connection: no client proxy sends such requests.
     */
    private void rejectMalformed(PendingRequest request) {
        respond(request, Response.invalid());
        rejectConnection();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        markUsed();
        openRequests.values().forEach(PendingRequest::copyReadBuffer);
        if (decoder.midRecord() && recordsRead != recordsBeforePartial) {
            recordsBeforePartial = recordsRead;
            partialSinceMillis = use.lastUsedMillis();
        }
    }

    /**
     * Adds to the bytes of partial requests, or subtracts; false if all connections together exceed
     * the bound.
     */
    boolean reserveBytes(int bytes) {
        return frontend.reserveBytes(bytes);
    }

    /**
     * Writes a final response; drops it if the connection is closed. Guards the gateway against a
     * failed write, such as direct memory exhausted by clients that do not read: only this
     * connection is lost.
     */
    void respond(PendingRequest request, Response response) {
        if (openRequests.get(request.id) != request || !handlerContext.channel().isActive()) {
            return;
        }
        try {
            write(
                    request,
                    ResponseWriter.response(
                            handlerContext.alloc(), request.id, response, gateway.loadLevel()));
        } catch (RuntimeException | OutOfMemoryError e) {
            exceptionCaught(handlerContext, e);
        }
    }

    private void write(PendingRequest request, ByteBuf response) {
        openRequests.remove(request.id);
        request.handOver();
        closeWhenDone |= !request.keepConnection;
        handlerContext.writeAndFlush(response);
        markUsed();
        closeIfDone();
        if (frontend.draining() && openRequests.isEmpty()) {
            handlerContext.executor().execute(this::closeIfEmpty);
        }
    }

    /**
     * Guards graceful shutdown against clients that always have a request open: the first moment
     * without one counts.
     */
    private void closeIfEmpty() {
        if (!closeWhenDone && handlerContext.channel().isActive()) {
            readNow();
            if (openRequests.isEmpty() && !decoder.midRecord()) {
                closeWhenDone = true;
                closeIfDone();
            }
        }
    }

    /**
     * Reads what the socket holds. Guards a request that arrived while this process stalled and is
     * still unread: clients count it as lost if the connection closes more than 50 ms after they
     * wrote it.
     */
    private void readNow() {
        if (handlerContext.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }

    /** Reads what the socket holds; false if that was at least one record. */
    boolean readFindsNothing() {
        int before = recordsRead;
        readNow();
        return recordsRead == before;
    }

    private void markUsed() {
        use.used(frontend.nowMillis());
        idleInLastPass = false;
    }

    /** No open request, no partial record, no unsent response. */
    private boolean isEmpty() {
        return openRequests.isEmpty() && !decoder.midRecord() && allSent();
    }

    private boolean allSent() {
        ChannelOutboundBuffer unsent = handlerContext.channel().unsafe().outboundBuffer();
        return unsent == null || unsent.isEmpty();
    }

    /**
     * Closes the connection if it is empty and was idle for {@code idleMillis}. Guards against a
     * request that arrived while this process stalled: a first pass only marks the connection, and
     * a later one closes it if the reads in between found nothing. Input after the close is never
     * read, so it never runs.
     */
    void closeIdle(double nowMillis, double idleMillis, double healthCheckIdleMillis) {
        double limit = use.carriesHealthChecksOnly() ? healthCheckIdleMillis : idleMillis;
        if (!isEmpty() || nowMillis - use.lastUsedMillis() < limit) {
            idleInLastPass = false;
        } else if (idleInLastPass) {
            if (readFindsNothing() && isEmpty()) {
                handlerContext.close();
            }
        } else {
            idleInLastPass = true;
        }
    }

    /**
     * Guards against clients that send nothing, or never complete a request: each holds a
     * descriptor. Only a connection that was overdue in the pass before is rejected: what arrived
     * during a stall was read in between.
     */
    void rejectOverdue(double nowMillis) {
        if (linger.lingering() && linger.expired(nowMillis, allSent())) {
            handlerContext.close();
        } else if (rejecting || linger.lingering()) {
            handlerContext.read();
        }
        if (rejecting || linger.lingering()) {
            return;
        }
        boolean late = isOverdueSince(nowMillis - frontend.requestTimeoutMillis());
        if (late && overdueInLastPass) {
            // Guards a first request that arrived while the process stalled between the two passes:
            // it is still in the socket.
            readNow();
            late = isOverdueSince(nowMillis - frontend.requestTimeoutMillis());
            if (late) {
                rejectConnection();
            }
        }
        overdueInLastPass = late;
    }

    /** Whether its first request, or one that it has begun, is incomplete since before then. */
    private boolean isOverdueSince(double beforeMillis) {
        if (use.silentSince(beforeMillis)
                || (decoder.midRecord() && partialSinceMillis < beforeMillis)) {
            return true;
        }
        for (PendingRequest request : openRequests.values()) {
            if (!request.handedOver && request.begunAtMillis < beforeMillis) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether closing it now loses no request: a partial one on a new connection counts as failed,
     * not as lost.
     */
    boolean isEvictable() {
        return (linger.lingering() && allSent())
                || isEmpty()
                || (!use.carriesRequests()
                        && openRequests.values().stream().noneMatch(e -> e.handedOver));
    }

    /**
     * Closes the connection to stay within the bound. Guards against a burst: Netty reports the
     * close only after the other connections of this turn were accepted, and until then this one
     * would be evicted again and again.
     */
    void evict() {
        frontend.connectionClosed(this);
        handlerContext.close();
    }

    /**
     * The client violates the protocol: complete requests are still answered, partial ones fail,
     * further input is ignored, and the connection closes after the last response.
     */
    private void rejectConnection() {
        if (!rejecting) {
            rejecting = true;
            closeWhenDone = true;
            decoder.discardInput();
            handlerContext.channel().config().setAutoRead(false);
            for (PendingRequest request : List.copyOf(openRequests.values())) {
                if (!request.handedOver) {
                    respond(request, Response.invalid());
                }
            }
            closeIfDone();
        }
    }

    /**
     * Closes after the last response. Guards against a response that a reset destroys before it is
     * read, as happens if input is left unread at the close: the output is shut down first, and
     * input is read and discarded for a while.
     */
    private void closeIfDone() {
        if (!closeWhenDone || !openRequests.isEmpty() || linger.lingering()) {
            return;
        }
        linger.start(frontend.nowMillis());
        ChannelFuture written = handlerContext.writeAndFlush(Unpooled.EMPTY_BUFFER);
        if (handlerContext.channel() instanceof DuplexChannel duplex && !duplex.isInputShutdown()) {
            decoder.discardInput();
            handlerContext.channel().config().setAutoRead(false);
            written.addListener(done -> duplex.shutdownOutput());
        } else {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof RecordDecoder.TooLong skipped) {
            PendingRequest request = openRequests.get(skipped.id());
            if (request != null && !request.handedOver) {
                respond(request, Response.invalid());
            }
            rejectConnection();
        } else if (event == RecordDecoder.FRAMING_LOST) {
            rejectConnection();
        } else if (event instanceof ChannelInputShutdownEvent) {
            inputEnded();
        }
    }

    /**
     * The client closed its side. By FastCGI that cancels its requests: queued ones fail, running
     * ones are still answered in case somebody reads.
     */
    private void inputEnded() {
        if (linger.lingering()) {
            handlerContext.close();
            return;
        }
        cancelAll();
        rejectConnection();
    }

    private void cancelAll() {
        for (PendingRequest request : List.copyOf(openRequests.values())) {
            if (request.handedOver) {
                gateway.cancel(request.requestId, request);
            }
        }
    }

    /**
     * Guards against a client that sends without reading: its input is read again once its
     * responses are.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        context.channel()
                .config()
                .setAutoRead(context.channel().isWritable() && !rejecting && !linger.lingering());
    }

    /** Guards against work for nobody: queued requests of a closed connection leave the queue. */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelAll();
        openRequests.values().forEach(PendingRequest::handOver);
        openRequests.clear();
        frontend.connectionClosed(this);
    }

    /** Exceptions close this connection and nothing else. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeOnFailure(cause);
    }

    void closeOnFailure(Throwable cause) {
        LOG.debug("connection failed", cause);
        handlerContext.close();
    }
}
