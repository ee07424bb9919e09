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
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.core.Gateway;
import tinroad.core.IncomingRequest;
import tinroad.core.Response;

/**
 * One connection of a client proxy: puts requests together from records and writes their answers.
 */
final class FrontConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /**
     * Bounds the open requests of one connection. Callers keep to 32, but those they gave up
     * without a word stay open here until they are answered.
     */
    static final int MOST_OPEN = 64;

    /**
     * Bounds what may come in between whole requests that belongs to none, in bytes: guards against
     * records without end.
     */
    static final int MOST_STRAY = 64 * 1024;

    /**
     * The order in which connections make room: given up on, then without a request so far, then
     * longest unused.
     */
    static final Comparator<FrontConnection> BY_USE =
            Comparator.comparing((FrontConnection c) -> !c.lingering)
                    .thenComparing(c -> c.carriesRequests)
                    .thenComparingDouble(
                            c -> c.carriesRequests || c.carriesChecks ? c.lastUsed : c.openedAt);

    private static final Logger LOG = LoggerFactory.getLogger("front");

    private final FastCgiFrontend front;
    private final Gateway gateway;
    private final RecordDecoder decoder;
    private final IntObjectMap<Exchange> open = new IntObjectHashMap<>();
    private ChannelHandlerContext ctx;
    private double lastUsed;
    private boolean carriesChecks;
    private boolean carriesRequests;
    private boolean closeWhenDone;
    private boolean candidate;
    private double openedAt;

    /**
     * Records read so far, and that number and the time when the present partial record was first
     * seen.
     */
    private int records;

    private int recordsBefore = -1;
    private double partialSince;
    private boolean overdue;
    private boolean givenUp;

    /** Its last answer was written after it was given up on; what still comes is thrown away. */
    private boolean lingering;

    private double lingersSince;
    private int stray;

    FrontConnection(FastCgiFrontend front, Gateway gateway, RecordDecoder decoder) {
        this.front = front;
        this.gateway = gateway;
        this.decoder = decoder;
    }

    // --- records in ---

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        touch();
        openedAt = lastUsed;
        front.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf record) {
        records++;
        int type = record.getUnsignedByte(1);
        int id = record.getUnsignedShort(2);
        ByteBuf content = record.slice(FastCgi.HEADER, record.getUnsignedShort(4));
        if (id == 0) {
            management(type, content);
        } else if (type == FastCgi.BEGIN_REQUEST) {
            begin(id, content);
        } else {
            Exchange exchange = open.get(id);
            // What belongs to no open request, or comes after its end, is skipped, as the protocol
            // asks.
            if (exchange != null && !exchange.handed) {
                stream(type, exchange, content);
            } else if (exchange != null && type == FastCgi.ABORT_REQUEST) {
                gateway.cancel(exchange.requestId, exchange);
            } else {
                stray(record.readableBytes());
            }
        }
    }

    private void stray(int bytes) {
        stray += bytes;
        if (stray > MOST_STRAY) {
            giveUp();
        }
    }

    private void management(int type, ByteBuf content) {
        stray(content.readableBytes());
        if (type == FastCgi.GET_VALUES) {
            Map<String, String> values = new TreeMap<>();
            Params.pairs(
                    content,
                    (name, in, length) -> {
                        in.skipBytes(length);
                        switch (name) {
                            case "FCGI_MAX_CONNS" ->
                                    values.put(name, Integer.toString(front.mostConnections()));
                            case "FCGI_MAX_REQS" ->
                                    values.put(
                                            name,
                                            Integer.toString(front.mostConnections() * MOST_OPEN));
                            case "FCGI_MPXS_CONNS" -> values.put(name, "1");
                            default -> {}
                        }
                    });
            ctx.writeAndFlush(Responses.values(ctx.alloc(), values));
        } else {
            ctx.writeAndFlush(Responses.unknownType(ctx.alloc(), type));
        }
    }

    private void begin(int id, ByteBuf content) {
        Exchange before = open.get(id);
        if (before != null) {
            // A number that is still open can't be told apart from its new use: what is in hand
            // keeps its one answer.
            if (!before.handed) {
                fail(before);
            }
            giveUp();
            return;
        }
        if (content.readableBytes() < FastCgi.BEGIN_BODY
                || content.getUnsignedShort(0) != FastCgi.RESPONDER) {
            ctx.writeAndFlush(Responses.end(ctx.alloc(), id, FastCgi.UNKNOWN_ROLE));
        } else if (open.size() >= MOST_OPEN) {
            ctx.writeAndFlush(Responses.end(ctx.alloc(), id, FastCgi.OVERLOADED));
        } else if (!closeWhenDone) {
            open.put(
                    id,
                    new Exchange(
                            this,
                            id,
                            front.now(),
                            (content.getUnsignedByte(2) & FastCgi.KEEP_CONN) != 0));
        }
    }

    private void stream(int type, Exchange exchange, ByteBuf content) {
        boolean ends = !content.isReadable();
        switch (type) {
            case FastCgi.PARAMS -> {
                if (ends) {
                    exchange.paramsWhole = true;
                } else if (exchange.paramsWhole || !exchange.addParams(content)) {
                    fail(exchange);
                }
            }
            case FastCgi.STDIN -> {
                if (ends) {
                    whole(exchange);
                } else if (!exchange.addBody(content)) {
                    fail(exchange);
                }
            }
            case FastCgi.ABORT_REQUEST -> answer(exchange, Response.invalid());
            default -> {}
        }
    }

    private void whole(Exchange exchange) {
        stray = 0;
        Params params = exchange.paramsWhole ? Params.read(exchange.params()) : null;
        if (params != null && params.healthCheck()) {
            carriesChecks = true;
            write(
                    exchange,
                    Responses.health(
                            ctx.alloc(), exchange.id, gateway.healthy(), gateway.loadLevel()));
            return;
        }
        carriesRequests = true;
        IncomingRequest inbound = params == null ? null : params.inbound(exchange.body());
        if (inbound == null) {
            answer(exchange, Response.invalid());
            return;
        }
        exchange.requestId = inbound.id();
        gateway.handle(inbound, exchange);
        exchange.handOver();
    }

    /**
     * A malformed request, or more than one may be: no client proxy sends such, so its connection
     * is given up on.
     */
    private void fail(Exchange exchange) {
        answer(exchange, Response.invalid());
        giveUp();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        touch();
        open.values().forEach(Exchange::outliveRead);
        if (decoder.midRecord() && records != recordsBefore) {
            recordsBefore = records;
            partialSince = lastUsed;
        }
    }

    /**
     * Counts bytes of partial requests in, or out again; false where all connections together hold
     * too many.
     */
    boolean reserve(int bytes) {
        return front.reserve(bytes);
    }

    // --- answers out ---

    /**
     * Writes a final answer; drops it where the connection is gone. Guards the gateway against a
     * failure to write, such as direct memory used up by callers that don't read: it costs this
     * connection only.
     */
    void answer(Exchange exchange, Response answer) {
        if (open.get(exchange.id) != exchange || !ctx.channel().isActive()) {
            return;
        }
        try {
            write(
                    exchange,
                    Responses.answer(ctx.alloc(), exchange.id, answer, gateway.loadLevel()));
        } catch (RuntimeException | OutOfMemoryError e) {
            exceptionCaught(ctx, e);
        }
    }

    private void write(Exchange exchange, ByteBuf response) {
        open.remove(exchange.id);
        exchange.handOver();
        closeWhenDone |= !exchange.keepConnection;
        ctx.writeAndFlush(response);
        touch();
        closeIfDone();
        if (front.leaving() && open.isEmpty()) {
            ctx.executor().execute(this::leaveIfEmpty);
        }
    }

    /**
     * Guards the end of a process against callers that always have something open: the first moment
     * without counts.
     */
    private void leaveIfEmpty() {
        if (!closeWhenDone && ctx.channel().isActive()) {
            readNow();
            if (open.isEmpty() && !decoder.midRecord()) {
                closeWhenDone = true;
                closeIfDone();
            }
        }
    }

    /**
     * Reads what the socket holds. Guards a request that arrived while this process stalled, and
     * waits there unread: callers take it for lost where the connection closes more than 50 ms
     * after they wrote it.
     */
    private void readNow() {
        if (ctx.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }

    /** Reads what the socket holds; false where that was a record or more. */
    boolean nothingToRead() {
        int before = records;
        readNow();
        return records == before;
    }

    // --- the connection's own life ---

    private void touch() {
        lastUsed = front.now();
        candidate = false;
    }

    /** No open request, no partial record, no answer that is still to be sent. */
    private boolean empty() {
        return open.isEmpty() && !decoder.midRecord() && allSent();
    }

    private boolean allSent() {
        ChannelOutboundBuffer unsent = ctx.channel().unsafe().outboundBuffer();
        return unsent == null || unsent.isEmpty();
    }

    /**
     * Closes the connection if it is empty and was unused for {@code after}. Guards against a
     * request that arrived while this process stalled: a first pass only marks the connection, and
     * a later one closes it when the reads in between brought nothing. What comes after the close
     * is never read, so it never runs.
     */
    void closeIdle(double nowMillis, double after, double checksAfter) {
        double limit = carriesChecks && !carriesRequests ? checksAfter : after;
        if (!empty() || nowMillis - lastUsed < limit) {
            candidate = false;
        } else if (candidate) {
            if (nothingToRead() && empty()) {
                ctx.close();
            }
        } else {
            candidate = true;
        }
    }

    /**
     * Guards against callers that say nothing, or begin a request and never end it: each holds a
     * descriptor, and is owed an end. The pass before this one already found it so: what arrived
     * during a stall was read meanwhile.
     */
    void giveUpOverdue(double nowMillis) {
        double lingers = lingering ? nowMillis - lingersSince : 0;
        if (lingers > FastCgiFrontend.LINGER_MS
                && (allSent() || lingers > FastCgiFrontend.MOST_LINGER_MS)) {
            ctx.close();
        } else if (givenUp || lingering) {
            ctx.read();
        }
        if (givenUp || lingering) {
            return;
        }
        boolean late = owes(nowMillis - front.patience());
        if (late && overdue) {
            // Guards a first request that came while the process stood still between the two
            // passes: it waits in the socket.
            readNow();
            late = owes(nowMillis - front.patience());
            if (late) {
                giveUp();
            }
        }
        overdue = late;
    }

    /** Whether its first request, or one that it has begun, is owed since before {@code then}. */
    private boolean owes(double then) {
        if ((!carriesRequests && !carriesChecks && openedAt < then)
                || (decoder.midRecord() && partialSince < then)) {
            return true;
        }
        for (Exchange exchange : open.values()) {
            if (!exchange.handed && exchange.begunAt < then) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether closing it now costs no request: what is partial on a new connection has failed, and
     * is not lost.
     */
    boolean dispensable() {
        return (lingering && allSent())
                || empty()
                || (!carriesRequests && open.values().stream().noneMatch(e -> e.handed));
    }

    /**
     * Makes room, or is one connection too many itself. Guards against a burst: Netty tells of the
     * close only after the other connections of this turn were taken in, and until then this one
     * would make room again and again.
     */
    void refuse() {
        front.closed(this);
        ctx.close();
    }

    /**
     * The caller is none that keeps to the protocol. What was read whole is still answered, what is
     * partial fails, and nothing more is taken; then the connection closes.
     */
    private void giveUp() {
        if (!givenUp) {
            givenUp = true;
            closeWhenDone = true;
            decoder.discard();
            ctx.channel().config().setAutoRead(false);
            for (Exchange exchange : List.copyOf(open.values())) {
                if (!exchange.handed) {
                    answer(exchange, Response.invalid());
                }
            }
            closeIfDone();
        }
    }

    /**
     * Closes after the last answer. Guards against an answer that a reset destroys before it is
     * read, as happens where input is left unread at the close: the sending side ends first, and
     * what comes is read slowly for a while.
     */
    private void closeIfDone() {
        if (!closeWhenDone || !open.isEmpty() || lingering) {
            return;
        }
        lingering = true;
        lingersSince = front.now();
        ChannelFuture written = ctx.writeAndFlush(Unpooled.EMPTY_BUFFER);
        if (ctx.channel() instanceof DuplexChannel duplex && !duplex.isInputShutdown()) {
            decoder.discard();
            ctx.channel().config().setAutoRead(false);
            written.addListener(done -> duplex.shutdownOutput());
        } else {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof RecordDecoder.TooLong skipped) {
            Exchange exchange = open.get(skipped.id());
            if (exchange != null && !exchange.handed) {
                answer(exchange, Response.invalid());
            }
            giveUp();
        } else if (event == RecordDecoder.BROKEN) {
            giveUp();
        } else if (event instanceof ChannelInputShutdownEvent) {
            inputEnded();
        }
    }

    /**
     * The caller sends no more: it is gone, or was restarted. As FastCGI has it, that withdraws
     * what it asked for: what is held fails, and what runs is still answered, should there be
     * somebody to read it.
     */
    private void inputEnded() {
        if (lingering) {
            ctx.close();
            return;
        }
        withdrawAll();
        giveUp();
    }

    private void withdrawAll() {
        for (Exchange exchange : List.copyOf(open.values())) {
            if (exchange.handed) {
                gateway.cancel(exchange.requestId, exchange);
            }
        }
    }

    /**
     * Guards against a caller that asks without reading: no more is read until its answers are
     * taken.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        context.channel()
                .config()
                .setAutoRead(context.channel().isWritable() && !givenUp && !lingering);
    }

    /** Guards against work for nobody: what is held for a connection that broke leaves the hold. */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        withdrawAll();
        open.values().forEach(Exchange::handOver);
        open.clear();
        front.closed(this);
    }

    /** Exceptions stop here: they cost this connection and nothing else. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failed(cause);
    }

    void failed(Throwable cause) {
        LOG.debug("connection failed", cause);
        ctx.close();
    }
}
