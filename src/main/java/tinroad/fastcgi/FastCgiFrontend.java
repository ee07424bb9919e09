package tinroad.fastcgi;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.core.Clock;
import tinroad.core.Frontend;
import tinroad.core.Gateway;

/** The FastCGI side: the listener and the connections of the client proxies. */
public final class FastCgiFrontend implements Frontend {
    /**
     * Period of the pass over idle connections; a connection is closed by the second pass that
     * finds it idle.
     */
    private static final long PASS_MS = 50;

    /**
     * Connections that carry only health checks are no callers': the module's idle time is not
     * theirs.
     */
    private static final double CHECKS_IDLE_MS = 60_000;

    /**
     * Descriptors kept for what is no client connection: listener, links, roster, the virtual
     * machine's files.
     */
    static final int RESERVED = 80;

    /**
     * So long a connection may take, in ms, for its first whole request, and any later one that it
     * has begun.
     */
    static final double PATIENCE_MS = 1500;

    /** The same once the process leaves: nobody may keep it from its end with half a request. */
    static final double LEAVING_PATIENCE_MS = 100;

    /**
     * So long a connection that was given up on is kept, in ms, for its last answers to be read.
     */
    static final double LINGER_MS = 500;

    /** The same where its last answers have not even left yet, because it reads slowly. */
    static final double MOST_LINGER_MS = 10_000;

    /**
     * Bounds what all requests that are not read whole yet take together, and that part of the
     * memory allowed.
     */
    static final int MOST_PARTIAL = 16 * 1024 * 1024;

    private static final int PARTIAL_PART = 8;
    private static final int BACKLOG = 1024;
    private static final int ROOM_AFTER_FAILURE = 16;

    /** So many connections are looked at for one that may go. */
    private static final int MOST_LOOKS = 8;

    private static final int MOST_UNFLUSHED = 64;

    /**
     * Answers that one connection may leave unread before no more is read from it: all that 32
     * requests get.
     */
    private static final WriteBufferWaterMark UNREAD_ANSWERS =
            new WriteBufferWaterMark(64 * 1024, 160 * 1024);

    private static final Logger LOG = LoggerFactory.getLogger("front");

    private final Clock clock;
    private final Gateway gateway;
    private final int mostAlone;
    private final int mostShared;
    private int most;
    private final long mostPartial;
    private final Set<FrontConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private double idleAfter;
    private boolean leaving;

    /** Connections taken in so far. */
    private long accepted;

    private boolean full;
    private boolean acceptFailed;
    private int partialBytes;

    /**
     * A front of {@code gateway}; a process may hold {@code sockets} descriptors and {@code
     * memoryMb} of memory.
     */
    public FastCgiFrontend(Clock clock, Gateway gateway, int sockets, double memoryMb) {
        this.clock = clock;
        this.gateway = gateway;
        this.mostAlone = Math.max(1, sockets - RESERVED);
        this.mostShared = Math.max(1, (sockets - RESERVED) / 2);
        this.most = mostAlone;
        this.mostPartial = Math.min(MOST_PARTIAL, (long) (memoryMb * 1024 * 1024 / PARTIAL_PART));
    }

    /** Begins to listen, on the one event loop that owns the gateway. */
    public ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        // Another process of this gateway may listen beside this one, while a new
                        // version takes over.
                        .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                        .handler(new AcceptFailures())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNREAD_ANSWERS)
                        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        // One write for all answers that one read brings about:
                                        // each is a call into the kernel.
                                        channel.pipeline()
                                                .addLast(
                                                        new FlushConsolidationHandler(
                                                                MOST_UNFLUSHED));
                                        channel.pipeline().addLast(handlers());
                                    }
                                })
                        .bind(address);
        listener = bound.channel();
        loop.scheduleWithFixedDelay(this::pass, PASS_MS, PASS_MS, TimeUnit.MILLISECONDS);
        return bound;
    }

    /**
     * Whether somebody listens there already; with {@code sharing}, only somebody who lets no other
     * process listen beside. Asked with a socket that never listens itself.
     */
    public static boolean taken(InetSocketAddress address, boolean sharing) throws IOException {
        try (Socket probe = new Socket()) {
            probe.setReuseAddress(true);
            probe.setOption(StandardSocketOptions.SO_REUSEPORT, sharing);
            probe.bind(address);
            return false;
        } catch (BindException e) {
            return true;
        }
    }

    /** What a client proxy's connection is read with. */
    public ChannelHandler[] handlers() {
        RecordDecoder decoder = new RecordDecoder();
        return new ChannelHandler[] {decoder, new FrontConnection(this, gateway, decoder)};
    }

    /**
     * One pass over the connections, which closes idle ones and those that never come to a whole
     * request.
     */
    public void pass() {
        double nowMillis = clock.nowMillis();
        double after = leaving ? 0 : idleAfter > 0 ? idleAfter : Double.MAX_VALUE;
        for (FrontConnection c : List.copyOf(connections)) {
            try {
                c.giveUpOverdue(nowMillis);
                c.closeIdle(nowMillis, after, leaving ? 0 : CHECKS_IDLE_MS);
            } catch (RuntimeException | OutOfMemoryError e) {
                // Guards the passes to come, which an exception would end, and the other
                // connections of this one.
                c.failed(e);
            }
        }
    }

    /**
     * Guards the client proxies against connections by the hundreds that say nothing, or asked once
     * and stay: a new one takes the place of the least useful one. Only where each has a request in
     * hand is it turned away.
     */
    void opened(FrontConnection connection) {
        accepted++;
        connections.add(connection);
        noteFull();
        if (connections.size() > most && !makeRoom(connection)) {
            connection.refuse();
        }
    }

    /**
     * Guards the descriptors that two processes of a gateway may hold together: while there are
     * two, each keeps to half of the connections, and lets go of what it has beyond that, the least
     * useful first.
     */
    public void share(boolean withAnother) {
        most = withAnother ? mostShared : mostAlone;
        for (int over = connections.size() - most; over > 0 && makeRoom(null); over--) {}
        noteFull();
    }

    /**
     * Closes the least useful connection other than this one; false where each has a request in
     * hand. Guards against a request that waits unread in the socket of the one that is to go: it
     * is read first, and then another one goes.
     */
    private boolean makeRoom(FrontConnection keep) {
        for (int i = 0; i < MOST_LOOKS; i++) {
            Optional<FrontConnection> least =
                    connections.stream()
                            .filter(c -> c != keep && c.dispensable())
                            .min(FrontConnection.BY_USE);
            if (least.isEmpty()) {
                return false;
            }
            if (least.get().nothingToRead() && least.get().dispensable()) {
                least.get().refuse();
                return true;
            }
        }
        return false;
    }

    /**
     * Guards against descriptors used up all the same: some connections go, and accepting rests for
     * a moment. Without this Netty rests for a second, and tells of each such second with a trace.
     */
    private final class AcceptFailures extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!acceptFailed) {
                acceptFailed = true;
                LOG.warn("can't accept with {} open: {}", connections.size(), cause.getMessage());
            }
            for (int i = 0; i < ROOM_AFTER_FAILURE && makeRoom(null); i++) {}
            context.channel().config().setAutoRead(false);
            context.channel()
                    .eventLoop()
                    .schedule(
                            () -> context.channel().config().setAutoRead(true),
                            PASS_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    void closed(FrontConnection connection) {
        connections.remove(connection);
        noteFull();
    }

    /**
     * Guards the log against a table that hovers at its bound: it has room again once a quarter of
     * it is free.
     */
    private void noteFull() {
        int open = connections.size();
        if (full ? open <= most * 3 / 4 : open >= most) {
            full = !full;
            LOG.warn(
                    full ? "connection table full: {} open" : "connection table has room: {} open",
                    open);
        }
    }

    boolean reserve(int bytes) {
        partialBytes += bytes;
        return partialBytes <= mostPartial;
    }

    double now() {
        return clock.nowMillis();
    }

    /** How long a connection may take for what it has begun. */
    double patience() {
        return leaving ? LEAVING_PATIENCE_MS : PATIENCE_MS;
    }

    boolean leaving() {
        return leaving;
    }

    int mostConnections() {
        return most;
    }

    @Override
    public void setIdleTimeout(double ms) {
        idleAfter = ms;
    }

    @Override
    public void closeGracefully() {
        leaving = true;
        if (listener != null) {
            acceptWaiting();
            listener.close();
        }
    }

    /**
     * Guards callers whose connection the system has accepted and this process has not yet: the end
     * of the listener would reset them, with the requests that they wrote meanwhile.
     */
    private void acceptWaiting() {
        if (listener.unsafe() instanceof AbstractNioChannel.NioUnsafe waiting) {
            long before;
            do {
                before = accepted;
                waiting.read();
            } while (accepted > before);
        }
    }

    @Override
    public int connections() {
        return connections.size();
    }
}
