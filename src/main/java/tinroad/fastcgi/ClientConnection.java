package tinroad.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.collection.IntObjectHashMap;
import io.netty.util.collection.IntObjectMap;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.core.Gateway;
import tinroad.core.Response;

/**
 * Handles one connection of a client proxy from its start to its end: passes its records to {@link
 * RequestAssembler}, writes the responses, and decides when the connection closes. Owned by the
 * event loop. Does not use a request's priority or deadline.
 */
@SuppressWarnings(
        "FutureReturnValueIgnored") // A failed write closes the channel, see channelInactive.
final class ClientConnection extends SimpleChannelInboundHandler<ByteBuf>
        implements RecordDecoder.Listener {
    /**
     * The order in which connections are evicted: first those that linger, then those that carried
     * no request, then the one that has been unused for longest.
     */
    static final Comparator<ClientConnection> EVICTION_ORDER =
            Comparator.comparing((ClientConnection connection) -> !connection.linger.lingering())
                    .thenComparing(connection -> connection.usage.carriesRequests())
                    .thenComparingDouble(connection -> connection.usage.lastUsefulMillis());

    private static final Logger LOG = LoggerFactory.getLogger("front");

    private final FastCgiFrontend frontend;
    private final Gateway gateway;
    private final RecordDecoder decoder = new RecordDecoder(this);
    private final IntObjectMap<PendingRequest> openRequests = new IntObjectHashMap<>();
    private final ConnectionUse usage = new ConnectionUse();
    private final InputThrottle.Meter inputMeter = new InputThrottle.Meter();
    private final PartialRecordTimer partialRecordTimer = new PartialRecordTimer();
    private final RequestTimeouts timeouts =
            new RequestTimeouts(openRequests, usage, decoder, partialRecordTimer);
    private final RequestAssembler assembler;
    private ChannelHandlerContext handlerContext;
    private SocketInput socketInput;
    private boolean closeWhenDone;
    private boolean idleInLastSweep;

    /** Number of complete records read so far. */
    private int recordsRead;

    /** Whether the connection is not read until its turn comes, see {@link InputThrottle}. */
    private boolean throttled;

    private boolean closeAttemptScheduled;

    private final CloseAttempts closeAttempts = new CloseAttempts();
    private boolean overdueInLastSweep;

    /** Whether the connection was given up: no further request is accepted. */
    private boolean rejecting;

    /** Whether further input is ignored, as it can't be read or is no request. */
    private boolean discarding;

    /** Bytes that are kept for input which is not complete. */
    private int partialInputBytes;

    /** Started when the last response is written and the output shut down; input is discarded. */
    private final LingerTimer linger = new LingerTimer();

    ClientConnection(FastCgiFrontend frontend, Gateway gateway) {
        this.frontend = frontend;
        this.gateway = gateway;
        assembler = new RequestAssembler(this, frontend, gateway, openRequests, usage, inputMeter);
    }

    /** Returns the decoder of this connection's input, which precedes this handler. */
    RecordDecoder decoder() {
        return decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        handlerContext = context;
        socketInput = new SocketInput(context.channel());
        usage.opened(frontend.nowMillis());
        idleInLastSweep = false;
        frontend.connectionOpened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf record) {
        recordsRead++;
        inputMeter.recordRead();
        assembler.read(record);
    }

    /** Whether a request that begins now is accepted. */
    boolean acceptsRequests() {
        return !closeWhenDone && !frontend.refusesRequests();
    }

    ByteBufAllocator allocator() {
        return handlerContext.alloc();
    }

    /** Writes records that answer no open request. */
    void send(ByteBuf records) {
        handlerContext.writeAndFlush(records);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        markUsed();
        openRequests.values().forEach(PendingRequest::copyReadBuffer);
        if (decoder.midRecord()) {
            partialRecordTimer.begin(recordsRead, usage.lastUsedMillis());
        }
    }

    @Override
    public void bufferResized(int addedBytes) {
        holdPartialInput(addedBytes);
    }

    @Override
    public void inputDecoded(int bytes) {
        socketInput.inputFound();
        frontend.sweepBudget().bytesRead(bytes);
        inputMeter.bytesRead(bytes);
        if (inputMeter.isExceeded() && !throttled) {
            throttled = true;
            updateAutoRead();
            frontend.throttle(this);
        }
        frontend.limitPartialInput();
    }

    /** Lets a throttled connection be read again, once if it completes no valid request. */
    void endThrottling() {
        throttled = false;
        updateAutoRead();
    }

    private void updateAutoRead() {
        handlerContext
                .channel()
                .config()
                .setAutoRead(handlerContext.channel().isWritable() && !discarding && !throttled);
    }

    /** Adds to the bytes that are kept for input which is not complete, or subtracts. */
    void holdPartialInput(int bytes) {
        partialInputBytes += bytes;
        frontend.holdPartialInput(bytes);
    }

    int partialInputBytes() {
        return partialInputBytes;
    }

    /** Rejects the connection and releases what is kept for its partial input. */
    void rejectPartialInput() {
        reject();
        decoder.skipPartialRecord();
    }

    /**
     * Writes a final response, or drops it if the connection is closed. If the write fails, as when
     * clients that do not read exhaust the direct memory, only this connection is closed.
     */
    void respond(PendingRequest request, Response response) {
        if (openRequests.get(request.id) != request || !handlerContext.channel().isActive()) {
            return;
        }
        request.invalid = response.kind() == Response.Kind.INVALID;
        try {
            write(
                    request,
                    ResponseWriter.response(
                            handlerContext.alloc(), request.id, response, gateway.loadLevel()));
        } catch (RuntimeException | OutOfMemoryError e) {
            exceptionCaught(handlerContext, e);
        }
    }

    /** Writes the response to an open request. */
    void write(PendingRequest request, ByteBuf response) {
        openRequests.remove(request.id);
        request.handOver();
        closeWhenDone |= !request.keepConnection;
        handlerContext.writeAndFlush(response);
        markUsed();
        closeIfDone();
        if (frontend.draining() && openRequests.isEmpty() && !closeAttemptScheduled) {
            scheduleCloseIfEmpty();
        }
    }

    /** A task that is executed at once would run before the next input of others. */
    private void scheduleCloseIfEmpty() {
        closeAttemptScheduled = true;
        handlerContext.executor().schedule(this::closeIfEmpty, 0, TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the connection of a draining gateway the first time that it has no open request.
     * Otherwise clients that nearly always have a request open would delay the graceful shutdown.
     * One whose input goes on without a valid request is rejected.
     */
    private void closeIfEmpty() {
        closeAttemptScheduled = false;
        if (closeWhenDone || !handlerContext.channel().isActive()) {
            return;
        }
        boolean readAll = socketInput.read(throttled);
        if (readAll && openRequests.isEmpty() && !decoder.midRecord()) {
            closeWhenDone = true;
            closeIfDone();
        } else if (closeAttempts.isLast(usage.completedRequests())) {
            reject();
        } else if (!readAll && openRequests.isEmpty()) {
            scheduleCloseIfEmpty();
        }
    }

    /** Reads the input that is waiting in the socket; false if it completed a record. */
    boolean readFindsNothing() {
        int recordsBefore = recordsRead;
        socketInput.read(throttled);
        return recordsRead == recordsBefore;
    }

    private void markUsed() {
        usage.used(frontend.nowMillis());
        idleInLastSweep = false;
    }

    /** Whether there is no open request, no partial record and no unsent response. */
    private boolean isEmpty() {
        return openRequests.isEmpty() && !decoder.midRecord() && allSent();
    }

    /** Returns the bytes of responses that the client has not taken yet. */
    long unsentBytes() {
        ChannelOutboundBuffer unsent = handlerContext.channel().unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes();
    }

    private boolean allSent() {
        ChannelOutboundBuffer unsent = handlerContext.channel().unsafe().outboundBuffer();
        return unsent == null || unsent.isEmpty();
    }

    /**
     * Closes the connection if it is empty and was idle for {@code idleMillis}, or for {@code
     * healthCheckIdleMillis} if it carries only health checks. A request may have arrived while
     * this process stalled, so a first sweep only marks the connection, and a later one closes it
     * if the reads in between found nothing. Input that arrives after the close is never read, so
     * such a request never runs.
     */
    void closeIdle(double nowMillis, double idleMillis, double healthCheckIdleMillis) {
        double limitMillis = usage.carriesHealthChecksOnly() ? healthCheckIdleMillis : idleMillis;
        if (!isEmpty() || nowMillis - usage.lastUsedMillis() < limitMillis) {
            idleInLastSweep = false;
        } else if (idleInLastSweep) {
            if (readFindsNothing() && isEmpty()) {
                handlerContext.close();
            }
        } else {
            idleInLastSweep = true;
        }
    }

    /**
     * Rejects the connection if its client sends nothing or does not complete a request in time,
     * because each connection occupies a file descriptor. It is rejected only if it was overdue in
     * the previous sweep, too: input that arrived during a stall has been read in between. Also
     * closes a connection that has lingered for long enough.
     */
    void rejectOverdue(double nowMillis) {
        if (linger.lingering() && linger.expired(nowMillis, allSent())) {
            handlerContext.close();
        } else if (discarding && !frontend.sweepBudget().isExhausted()) {
            socketInput.read(throttled);
        }
        if (rejecting || linger.lingering() || frontend.sweepBudget().isExhausted()) {
            return;
        }
        double beforeMillis = nowMillis - frontend.requestTimeoutMillis();
        boolean overdue = timeouts.isOverdueSince(beforeMillis);
        if (overdue && overdueInLastSweep) {
            // A request that arrived in a stall between the two sweeps is still in the socket.
            socketInput.read(throttled);
            overdue = timeouts.isOverdueSince(beforeMillis);
            if (overdue) {
                failOverdueSince(beforeMillis);
            }
        }
        overdueInLastSweep = overdue;
    }

    /**
     * Fails the requests that are incomplete since before this time. The connection stays if it has
     * carried complete requests meanwhile, since other clients may share it; otherwise it is
     * rejected.
     */
    private void failOverdueSince(double beforeMillis) {
        if (!timeouts.requestCompletedSinceLastTime()) {
            reject();
            return;
        }
        failIncompleteSince(beforeMillis);
        timeouts.skipPartialRecordSince(beforeMillis);
    }

    private void failIncompleteSince(double beforeMillis) {
        for (PendingRequest request : timeouts.incompleteSince(beforeMillis)) {
            frontend.sweepBudget().requestFailed();
            respond(request, Response.invalid());
        }
    }

    /**
     * Whether closing the connection now loses no request; clients count a partial request on a new
     * connection as failed, not as lost.
     */
    boolean isEvictable() {
        // Without a complete request before, none is in flight.
        return (linger.lingering() && allSent()) || !usage.carriesRequests() || isEmpty();
    }

    /**
     * Closes the connection to keep the number of connections within its bound, and removes it from
     * the frontend at once. In a burst Netty reports the close only after it has accepted the other
     * connections of this loop iteration; until then the same connection would be evicted again.
     */
    void evict() {
        frontend.connectionClosed(this);
        handlerContext.close();
    }

    /**
     * Gives the connection up: complete requests are still answered, partial ones fail, further
     * ones are refused, and the connection closes after the last response.
     */
    void reject() {
        if (!rejecting) {
            rejecting = true;
            closeWhenDone = true;
            decoder.skipPartialRecord();
            failIncompleteSince(Double.POSITIVE_INFINITY);
            closeIfDone();
        }
    }

    /** Gives the connection up because its further input can't be read, or is no request. */
    void rejectUnreadable() {
        discardInput();
        reject();
    }

    /** Ignores all further input; it is still read, slowly, to notice the end of the connection. */
    private void discardInput() {
        discarding = true;
        decoder.discardInput();
        updateAutoRead();
    }

    /**
     * Closes a rejected connection that has no open request. What its client wrote before is read
     * first, because every complete request gets an answer, and no request that is refused here was
     * written when the client could know of the end.
     */
    private void closeRejected() {
        if (handlerContext.channel().isActive() && !linger.lingering()) {
            boolean readAll = throttled || socketInput.read(false);
            if (!readAll) {
                scheduleCloseRejected();
            } else if (openRequests.isEmpty()) {
                closeGracefully();
            }
        }
    }

    /**
     * Begins to close the connection after the last response. A close with unread input causes a
     * reset, which could destroy the response before the client reads it. Therefore the output is
     * shut down first, and input is read and discarded for a while.
     */
    private void closeIfDone() {
        if (!closeWhenDone || !openRequests.isEmpty() || linger.lingering()) {
            return;
        }
        if (rejecting && !discarding) {
            scheduleCloseRejected();
        } else {
            closeGracefully();
        }
    }

    private void scheduleCloseRejected() {
        handlerContext.executor().schedule(this::closeRejected, 0, TimeUnit.MILLISECONDS);
    }

    private void closeGracefully() {
        linger.start(frontend.nowMillis());
        ChannelFuture flushed = handlerContext.writeAndFlush(Unpooled.EMPTY_BUFFER);
        if (handlerContext.channel() instanceof DuplexChannel duplex && !duplex.isInputShutdown()) {
            discardInput();
            flushed.addListener(future -> duplex.shutdownOutput());
        } else {
            flushed.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof RecordDecoder.TooLong tooLongRecord) {
            assembler.skippedTooLong(tooLongRecord.type(), tooLongRecord.recordId());
            reject();
        } else if (event == RecordDecoder.FRAMING_LOST) {
            rejectUnreadable();
        } else if (event instanceof ChannelInputShutdownEvent) {
            inputEnded();
        }
    }

    /**
     * Handles the end of the client's input, which in FastCGI cancels its requests: queued ones
     * fail, and running ones are still answered in case the client reads the responses.
     */
    private void inputEnded() {
        if (linger.lingering()) {
            handlerContext.close();
            return;
        }
        cancelAll();
        rejectUnreadable();
    }

    private void cancelAll() {
        for (PendingRequest request : List.copyOf(openRequests.values())) {
            if (request.handedOver) {
                gateway.cancel(request.requestId, request);
            }
        }
    }

    /**
     * Stops reading the input of a client that does not read its responses, until it has read them.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        updateAutoRead();
        if (!context.channel().isWritable()) {
            frontend.limitUnsentResponses();
        }
    }

    /** Cancels the queued requests of a closed connection, whose responses nobody could read. */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelAll();
        openRequests.values().forEach(PendingRequest::handOver);
        openRequests.clear();
        frontend.connectionClosed(this);
    }

    /** Closes this connection, and nothing else, on an exception. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        closeOnFailure(cause);
    }

    void closeOnFailure(Throwable cause) {
        LOG.debug("connection failed", cause);
        handlerContext.close();
    }
}
