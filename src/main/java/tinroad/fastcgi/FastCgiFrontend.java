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

/**
 * The listener and the connections of the client proxies: idle closing, eviction at the bound on
 * connections, the bound on partial requests, graceful closing. Owned by the event loop.
 */
@SuppressWarnings(
        "FutureReturnValueIgnored") // Tasks of the loop end with it; a close needs no end.
public final class FastCgiFrontend implements Frontend {
    /**
     * Period of the pass over idle connections; a connection is closed by the second pass that
     * finds it idle.
     */
    private static final long PASS_PERIOD_MILLIS = 50;

    /**
     * Idle timeout of connections that carry only health checks: they are no clients', so the
     * controller's idle timeout does not apply.
     */
    private static final double HEALTH_CHECK_IDLE_MILLIS = 60_000;

    /**
     * Descriptors reserved for all but client connections: listener, links, registry, the virtual
     * machine's files.
     */
    static final int RESERVED_DESCRIPTORS = 80;

    /** Time for a connection's first complete request, and for any later one that it has begun. */
    static final double REQUEST_TIMEOUT_MILLIS = 1500;

    /** The same while draining: a partial request must not delay the shutdown. */
    static final double DRAINING_REQUEST_TIMEOUT_MILLIS = 100;

    /** Time for which a rejected connection is kept so that its last responses can be read. */
    static final double LINGER_MILLIS = 500;

    /** The same if its last responses are not even sent yet, as it reads slowly. */
    static final double MAX_LINGER_MILLIS = 10_000;

    /**
     * Bytes that all partial requests may take together, if that is less than the allowed share of
     * memory.
     */
    static final int MAX_PARTIAL_BYTES = 16 * 1024 * 1024;

    private static final int PARTIAL_MEMORY_DIVISOR = 8;
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int EVICTIONS_AFTER_ACCEPT_FAILURE = 16;

    /** Connections that are tried for an eviction. */
    private static final int MAX_EVICTION_ATTEMPTS = 8;

    private static final int MAX_UNFLUSHED_WRITES = 64;

    /**
     * Unread responses of one connection above which its input is not read: the responses of 32
     * requests.
     */
    private static final WriteBufferWaterMark UNREAD_RESPONSE_BYTES =
            new WriteBufferWaterMark(64 * 1024, 160 * 1024);

    private static final Logger LOG = LoggerFactory.getLogger("front");

    private final Clock clock;
    private final Gateway gateway;
    private final int maxConnectionsAlone;
    private final int maxConnectionsShared;
    private int maxConnections;
    private final long maxPartialBytes;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private double idleTimeoutMillis;
    private boolean draining;

    /** Connections accepted so far. */
    private long accepted;

    private boolean tableFull;
    private boolean acceptFailed;
    private int partialBytes;

    /**
     * A frontend of {@code gateway}.
     *
     * @param sockets file descriptors that the process may hold
     * @param memoryMb memory that the process may take
     */
    public FastCgiFrontend(Clock clock, Gateway gateway, int sockets, double memoryMb) {
        this.clock = clock;
        this.gateway = gateway;
        this.maxConnectionsAlone = Math.max(1, sockets - RESERVED_DESCRIPTORS);
        this.maxConnectionsShared = Math.max(1, (sockets - RESERVED_DESCRIPTORS) / 2);
        this.maxConnections = maxConnectionsAlone;
        this.maxPartialBytes =
                Math.min(
                        MAX_PARTIAL_BYTES,
                        (long) (memoryMb * 1024 * 1024 / PARTIAL_MEMORY_DIVISOR));
    }

    /** Begins to listen, on the one event loop that owns the gateway. */
    public ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        // Another process of this gateway may listen beside this one, while a new
                        // version takes over.
                        .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                        .handler(new AcceptFailures())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNREAD_RESPONSE_BYTES)
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
                                                                MAX_UNFLUSHED_WRITES));
                                        channel.pipeline().addLast(handlers());
                                    }
                                })
                        .bind(address);
        listener = bound.channel();
        loop.scheduleWithFixedDelay(
                this::pass, PASS_PERIOD_MILLIS, PASS_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        return bound;
    }

    /**
     * Whether another process listens there.
     *
     * @param sharing whether a listener that shares its address (SO_REUSEPORT) does not count: true
     *     asks whether this process could not listen beside it
     */
    public static boolean isAddressTaken(InetSocketAddress address, boolean sharing)
            throws IOException {
        try (Socket probe = new Socket()) {
            probe.setReuseAddress(true);
            probe.setOption(StandardSocketOptions.SO_REUSEPORT, sharing);
            probe.bind(address);
            return false;
        } catch (BindException e) {
            return true;
        }
    }

    /** The handlers of a client proxy's connection. */
    public ChannelHandler[] handlers() {
        RecordDecoder decoder = new RecordDecoder();
        return new ChannelHandler[] {decoder, new ClientConnection(this, gateway, decoder)};
    }

    /** One pass over the connections: closes idle ones and those that do not complete a request. */
    public void pass() {
        double nowMillis = clock.nowMillis();
        double idleMillis =
                draining ? 0 : idleTimeoutMillis > 0 ? idleTimeoutMillis : Double.MAX_VALUE;
        for (ClientConnection connection : List.copyOf(connections)) {
            try {
                connection.rejectOverdue(nowMillis);
                connection.closeIdle(
                        nowMillis, idleMillis, draining ? 0 : HEALTH_CHECK_IDLE_MILLIS);
            } catch (RuntimeException | OutOfMemoryError e) {
                // Guards later passes, which an exception would end, and the other connections.
                connection.closeOnFailure(e);
            }
        }
    }

    /**
     * Guards against hundreds of connections that send nothing or stay after one request: a new one
     * replaces the least useful one. It is rejected only if each has a request in flight.
     */
    void connectionOpened(ClientConnection connection) {
        accepted++;
        connections.add(connection);
        logTableFull();
        if (connections.size() > maxConnections && !evictOne(connection)) {
            connection.evict();
        }
    }

    /**
     * Guards the descriptors that two processes of a gateway may hold together during a handover:
     * each keeps to half of the connections and evicts the rest, the least useful first.
     */
    public void shareDescriptors(boolean withAnother) {
        maxConnections = withAnother ? maxConnectionsShared : maxConnectionsAlone;
        for (int over = connections.size() - maxConnections; over > 0 && evictOne(null); over--) {}
        logTableFull();
    }

    /**
     * Closes the least useful connection other than this one; false if each has a request in
     * flight. Guards an unread request in the socket of the candidate: it is read first, and then
     * another one is evicted.
     */
    private boolean evictOne(ClientConnection keep) {
        for (int i = 0; i < MAX_EVICTION_ATTEMPTS; i++) {
            Optional<ClientConnection> leastUseful =
                    connections.stream()
                            .filter(connection -> connection != keep && connection.isEvictable())
                            .min(ClientConnection.EVICTION_ORDER);
            if (leastUseful.isEmpty()) {
                return false;
            }
            if (leastUseful.get().readFindsNothing() && leastUseful.get().isEvictable()) {
                leastUseful.get().evict();
                return true;
            }
        }
        return false;
    }

    /**
     * Guards against exhausted descriptors: some connections are evicted, and accepting pauses for
     * one pass. Without this Netty pauses for a second and logs a stack trace each time.
     */
    private final class AcceptFailures extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!acceptFailed) {
                acceptFailed = true;
                LOG.warn("can't accept with {} open: {}", connections.size(), cause.getMessage());
            }
            for (int i = 0; i < EVICTIONS_AFTER_ACCEPT_FAILURE && evictOne(null); i++) {}
            context.channel().config().setAutoRead(false);
            context.channel()
                    .eventLoop()
                    .schedule(
                            () -> context.channel().config().setAutoRead(true),
                            PASS_PERIOD_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        logTableFull();
    }

    /**
     * Guards the log against a table that hovers at its bound: it counts as full until a quarter of
     * it is free.
     */
    private void logTableFull() {
        int open = connections.size();
        if (tableFull ? open <= maxConnections * 3 / 4 : open >= maxConnections) {
            tableFull = !tableFull;
            LOG.warn(
                    tableFull
                            ? "connection table full: {} open"
                            : "connection table has room: {} open",
                    open);
        }
    }

    boolean reserveBytes(int bytes) {
        partialBytes += bytes;
        return partialBytes <= maxPartialBytes;
    }

    double nowMillis() {
        return clock.nowMillis();
    }

    /** Time that a connection has to complete a request. */
    double requestTimeoutMillis() {
        return draining ? DRAINING_REQUEST_TIMEOUT_MILLIS : REQUEST_TIMEOUT_MILLIS;
    }

    boolean draining() {
        return draining;
    }

    int maxConnections() {
        return maxConnections;
    }

    @Override
    public void setIdleTimeout(double idleMillis) {
        idleTimeoutMillis = idleMillis;
    }

    @Override
    public void closeGracefully() {
        draining = true;
        if (listener != null) {
            acceptPending();
            listener.close();
        }
    }

    /**
     * Guards clients whose connection the kernel has accepted and this process has not yet: closing
     * the listener would reset them, with the requests that they wrote meanwhile.
     */
    private void acceptPending() {
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
