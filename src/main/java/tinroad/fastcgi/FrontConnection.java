package tinroad.fastcgi;

import tinroad.core.Answer;
import tinroad.core.Gateway;
import tinroad.core.Inbound;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.collection.IntObjectHashMap;
import io.netty.util.collection.IntObjectMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One connection of a client proxy: puts requests together from records and writes their answers. */
final class FrontConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /**
     * Bounds the open requests of one connection. Callers keep to 32, but those they gave up without a word
     * stay open here until they are answered.
     */
    static final int MOST_OPEN = 256;
    private static final Logger LOG = LoggerFactory.getLogger("front");

    private final FastCgiFront front;
    private final Gateway gateway;
    private final RecordDecoder decoder;
    private final IntObjectMap<Exchange> open = new IntObjectHashMap<>();
    private ChannelHandlerContext ctx;
    private double lastUsed;
    private boolean carriesChecks;
    private boolean carriesRequests;
    private boolean closeWhenDone;
    private boolean candidate;

    FrontConnection(FastCgiFront front, Gateway gateway, RecordDecoder decoder) {
        this.front = front;
        this.gateway = gateway;
        this.decoder = decoder;
    }

    // --- records in ---

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        touch();
        front.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf record) {
        int type = record.getUnsignedByte(1);
        int id = record.getUnsignedShort(2);
        ByteBuf content = record.slice(FastCgi.HEADER, record.getUnsignedShort(4));
        if (id == 0) {
            management(type, content);
        } else if (type == FastCgi.BEGIN_REQUEST) {
            begin(id, content);
        } else {
            Exchange exchange = open.get(id);
            // What belongs to no open request, or comes after its end, is skipped, as the protocol asks.
            if (exchange != null && !exchange.handed) {
                stream(type, exchange, content);
            }
        }
    }

    private void management(int type, ByteBuf content) {
        if (type == FastCgi.GET_VALUES) {
            Map<String, String> values = new TreeMap<>();
            Params.pairs(content, (name, in, length) -> {
                in.skipBytes(length);
                switch (name) {
                    case "FCGI_MAX_CONNS" -> values.put(name, Integer.toString(front.mostConnections()));
                    case "FCGI_MAX_REQS" -> values.put(name, Integer.toString(front.mostConnections() * MOST_OPEN));
                    case "FCGI_MPXS_CONNS" -> values.put(name, "1");
                    default -> { }
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
            // An id that is still open can't be told apart from its new use: the old request ends, once.
            if (!before.handed) {
                fail(before);
            }
            return;
        }
        if (content.readableBytes() < FastCgi.BEGIN_BODY || content.getUnsignedShort(0) != FastCgi.RESPONDER) {
            ctx.writeAndFlush(Responses.end(ctx.alloc(), id, FastCgi.UNKNOWN_ROLE));
        } else if (open.size() >= MOST_OPEN) {
            ctx.writeAndFlush(Responses.end(ctx.alloc(), id, FastCgi.OVERLOADED));
        } else if (!closeWhenDone) {
            open.put(id, new Exchange(this, id, (content.getUnsignedByte(2) & FastCgi.KEEP_CONN) != 0));
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
            case FastCgi.ABORT_REQUEST -> fail(exchange);
            default -> { }
        }
    }

    private void whole(Exchange exchange) {
        Params params = exchange.paramsWhole ? Params.read(exchange.params()) : null;
        if (params != null && params.healthCheck()) {
            carriesChecks = true;
            write(exchange, Responses.health(ctx.alloc(), exchange.id, gateway.healthy()));
            return;
        }
        carriesRequests = true;
        Inbound inbound = params == null ? null : params.inbound(exchange.body());
        if (inbound == null) {
            fail(exchange);
            return;
        }
        gateway.request(inbound, exchange);
        exchange.handOver();
    }

    private void fail(Exchange exchange) {
        answer(exchange, Answer.invalid());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        touch();
        open.values().forEach(Exchange::outliveRead);
    }

    /** Counts bytes of partial requests in, or out again; false where all connections together hold too many. */
    boolean reserve(int bytes) {
        return front.reserve(bytes);
    }

    // --- answers out ---

    /**
     * Writes a final answer; drops it where the connection is gone. Guards the gateway against a failure to
     * write, such as direct memory used up by callers that don't read: it costs this connection only.
     */
    void answer(Exchange exchange, Answer answer) {
        if (open.get(exchange.id) != exchange || !ctx.channel().isActive()) {
            return;
        }
        try {
            write(exchange, Responses.answer(ctx.alloc(), exchange.id, answer));
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
    }

    // --- the connection's own life ---

    private void touch() {
        lastUsed = front.now();
        candidate = false;
    }

    /** No open request, no partial record, no answer that is still to be sent. */
    private boolean empty() {
        ChannelOutboundBuffer unsent = ctx.channel().unsafe().outboundBuffer();
        return open.isEmpty() && !decoder.midRecord() && (unsent == null || unsent.isEmpty());
    }

    /**
     * Closes the connection if it is empty and was unused for {@code after}. Guards against a request that
     * arrived while this process stalled: a first pass only marks the connection, and a later one closes it
     * when the reads in between brought nothing. What comes after the close is never read, so it never runs.
     */
    void closeIdle(double now, double after, double checksAfter) {
        double limit = carriesChecks && !carriesRequests ? checksAfter : after;
        if (!empty() || now - lastUsed < limit) {
            candidate = false;
        } else if (candidate) {
            ctx.close();
        } else {
            candidate = true;
        }
    }

    /** One connection too many: closed before anything is read from it. */
    void refuse() {
        ctx.close();
    }

    private void closeIfDone() {
        if (closeWhenDone && open.isEmpty()) {
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof RecordDecoder.TooLong skipped) {
            Exchange exchange = open.get(skipped.id());
            if (exchange != null && !exchange.handed) {
                fail(exchange);
            }
        } else if (event == RecordDecoder.BROKEN || event instanceof ChannelInputShutdownEvent) {
            // What was read whole is still answered; what is partial can never become whole.
            closeWhenDone = true;
            for (Exchange exchange : List.copyOf(open.values())) {
                if (!exchange.handed) {
                    open.remove(exchange.id);
                    exchange.handOver();
                }
            }
            closeIfDone();
        }
    }

    /** Guards against a caller that asks without reading: no more is read until its answers are taken. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        open.values().forEach(Exchange::handOver);
        open.clear();
        front.closed(this);
    }

    /** Exceptions stop here: they cost this connection and nothing else. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.debug("connection failed", cause);
        context.close();
    }
}
