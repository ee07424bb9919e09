package tinroad.fastcgi;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.util.Collections;
import java.util.Comparator;
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
 * Manages the listener and the connections of the client proxies: closes idle connections, evicts
 * connections above the bound, limits the memory of partial input, and closes everything
 * gracefully. Owned by the event loop.
 */
@SuppressWarnings(
        "FutureReturnValueIgnored") // Tasks end with the event loop; nothing waits for a close.
public final class FastCgiFrontend implements Frontend {
    /**
     * Period of the sweep over idle connections; a connection is closed by the second sweep that
     * finds it idle.
     */
    private static final long SWEEP_PERIOD_MILLIS = 50;

    /**
     * Idle timeout of connections that carry only health checks. They do not belong to client
     * proxies, so the controller's idle timeout does not apply.
     */
    private static final double HEALTH_CHECK_IDLE_MILLIS = 60_000;

    /**
     * File descriptors reserved for everything besides client connections: the listener, the links,
     * the service registry and the files of the virtual machine.
     */
    static final int RESERVED_DESCRIPTORS = 80;

    /**
     * Timeout for the first complete request of a new connection, and for any later request that
     * has begun to arrive.
     */
    static final double REQUEST_TIMEOUT_MILLIS = 1500;

    /** Request timeout while draining: a partial request must not delay the shutdown. */
    static final double DRAINING_REQUEST_TIMEOUT_MILLIS = 100;

    /** Time for which a connection stays open after its last response, so that it can be read. */
    static final double LINGER_MILLIS = 500;

    /** The same if the last responses are not sent yet because the client reads slowly. */
    static final double MAX_LINGER_MILLIS = 10_000;

    /**
     * Upper bound of the bytes of all partial input together; the bound is lower if its share of
     * the memory is less than this.
     */
    static final int MAX_PARTIAL_BYTES = 16 * 1024 * 1024;

    /** All partial input together may take this fraction (1/16) of the memory. */
    private static final int PARTIAL_MEMORY_DIVISOR = 16;

    /**
     * Upper bound of the unsent responses of all connections together, in direct memory. An
     * allocation beyond the limit on direct memory would stop the event loop before it fails.
     */
    static final long MAX_UNSENT_BYTES = 8 * 1024 * 1024;

    private static final int ACCEPT_BACKLOG = 1024;
    private static final int EVICTIONS_AFTER_ACCEPT_FAILURE = 16;

    /** Upper bound of the connections that are tried as candidates for one eviction. */
    private static final int MAX_EVICTION_ATTEMPTS = 8;

    private static final int MAX_UNFLUSHED_WRITES = 64;

    /**
     * Upper bound of the bytes that are read from one connection before others get their turn, so
     * that a client which writes at full speed does not hold the event loop up.
     */
    static final int MAX_READ_BYTES = 16 * 1024;

    /**
     * Size that the system is asked for to buffer the unread input of one connection. Without it,
     * connections that wait for their turn may hold megabytes each.
     */
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;

    private static final int MIN_READ_BYTES = 512;
    private static final int FIRST_READ_BYTES = 2 * 1024;

    /**
     * Bounds on the unread responses of one connection: above the upper one, the responses of 32
     * requests, its input is not read until they fall below the lower one.
     */
    private static final WriteBufferWaterMark UNREAD_RESPONSE_BYTES =
            new WriteBufferWaterMark(64 * 1024, 160 * 1024);

    private static final Logger LOG = LoggerFactory.getLogger("front");

    private final Clock clock;
    private final Gateway gateway;
    private final int maxConnectionsAlone;
    private final int maxConnectionsShared;
    private int maxConnections;
    private long maxUnsentBytes = MAX_UNSENT_BYTES;
    private final PartialInputBudget partialInput;
    private final InputThrottle throttle = new InputThrottle();
    private final SweepBudget sweepBudget = new SweepBudget();

    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private double idleTimeoutMillis;
    private boolean draining;
    private boolean refusesRequests;

    /** Number of connections accepted so far. */
    private long acceptedCount;

    /** Whether the connection table counts as full, see {@link #logTableFull}. */
    private boolean tableFull;

    private boolean acceptFailureLogged;

    private boolean partialInputExceeded;

    /**
     * Creates the frontend of {@code gateway}.
     *
     * @param sockets number of file descriptors that the process may open
     * @param memoryMb memory that the process may use
     */
    public FastCgiFrontend(Clock clock, Gateway gateway, int sockets, double memoryMb) {
        this.clock = clock;
        this.gateway = gateway;
        this.maxConnectionsAlone = Math.max(1, sockets - RESERVED_DESCRIPTORS);
        this.maxConnectionsShared = Math.max(1, (sockets - RESERVED_DESCRIPTORS) / 2);
        this.maxConnections = maxConnectionsAlone;
        this.partialInput =
                new PartialInputBudget(
                        Math.min(
                                MAX_PARTIAL_BYTES,
                                (long) (memoryMb * 1024 * 1024 / PARTIAL_MEMORY_DIVISOR)));
    }

    /** Starts to listen on the event loop that owns the gateway. */
    public ChannelFuture listen(EventLoop eventLoop, InetSocketAddress address) {
        ChannelFuture bindFuture =
                new ServerBootstrap()
                        .group(eventLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                        // Another process of this gateway may listen on the same address while a
                        // new version takes over.
                        .option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true)
                        .handler(new AcceptFailures())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNREAD_RESPONSE_BYTES)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(
                                                MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                        .maxMessagesPerRead(1))
                        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        // Combines all responses that result from one read into
                                        // one write, because each write is a system call.
                                        channel.pipeline()
                                                .addLast(
                                                        new FlushConsolidationHandler(
                                                                MAX_UNFLUSHED_WRITES));
                                        channel.pipeline().addLast(handlers());
                                    }
                                })
                        .bind(address);
        listener = bindFuture.channel();
        eventLoop.scheduleWithFixedDelay(
                this::sweep, SWEEP_PERIOD_MILLIS, SWEEP_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        return bindFuture;
    }

    /**
     * Whether another process listens on the address.
     *
     * @param allowSharing whether a listener that shares its address (SO_REUSEPORT) does not count.
     *     If true, the result is whether this process would be unable to listen beside it.
     */
    public static boolean isAddressTaken(InetSocketAddress address, boolean allowSharing)
            throws IOException {
        try (Socket probe = new Socket()) {
            probe.setReuseAddress(true);
            probe.setOption(StandardSocketOptions.SO_REUSEPORT, allowSharing);
            probe.bind(address);
            return false;
        } catch (BindException e) {
            return true;
        }
    }

    /** Creates the channel handlers of one connection of a client proxy. */
    public ChannelHandler[] handlers() {
        ClientConnection connection = new ClientConnection(this, gateway);
        return new ChannelHandler[] {connection.decoder(), connection};
    }

    /** Goes over all connections and closes idle ones and those that do not complete a request. */
    public void sweep() {
        double nowMillis = clock.nowMillis();
        sweepBudget.startSweep();
        throttle.sweep();
        partialInputExceeded &= partialInput.heldBytes() > partialInput.maxBytes() / 2;
        double idleMillis =
                draining ? 0 : idleTimeoutMillis > 0 ? idleTimeoutMillis : Double.MAX_VALUE;
        for (ClientConnection connection : List.copyOf(connections)) {
            try {
                connection.rejectOverdue(nowMillis);
                connection.closeIdle(
                        nowMillis, idleMillis, draining ? 0 : HEALTH_CHECK_IDLE_MILLIS);
            } catch (RuntimeException | OutOfMemoryError e) {
                // An exception here would end all later sweeps, and skip the other connections.
                connection.closeOnFailure(e);
            }
        }
    }

    /**
     * Registers a new connection. Above the bound it replaces the least useful one, so that
     * hundreds of connections that send nothing, or stay open after one request, do not keep others
     * out. The new connection is closed only if each of the others has a request in flight.
     */
    void connectionOpened(ClientConnection connection) {
        acceptedCount++;
        connections.add(connection);
        logTableFull();
        if (connections.size() > maxConnections && !evictOne(connection)) {
            connection.evict();
        }
    }

    /**
     * Sets whether another process of this gateway shares the limits on file descriptors and
     * memory, as during a handover. If so, this process uses at most half of the connections and
     * evicts the rest, the least useful first, and keeps at most half of the partial input and the
     * unsent responses.
     */
    public void shareLimits(boolean shared) {
        maxConnections = shared ? maxConnectionsShared : maxConnectionsAlone;
        maxUnsentBytes = shared ? MAX_UNSENT_BYTES / 2 : MAX_UNSENT_BYTES;
        partialInput.setShared(shared);
        limitPartialInput();
        for (int excess = connections.size() - maxConnections;
                excess > 0 && evictOne(null);
                excess--) {}
        logTableFull();
    }

    /**
     * Closes the least useful connection other than {@code except}; false if each has a request in
     * flight. The socket of a candidate is read first; if it held a request, another connection is
     * tried.
     */
    private boolean evictOne(ClientConnection except) {
        for (int i = 0; i < MAX_EVICTION_ATTEMPTS; i++) {
            Optional<ClientConnection> leastUseful =
                    connections.stream()
                            .filter(connection -> connection != except && connection.isEvictable())
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
     * Handles accepts that fail because file descriptors are exhausted: some connections are
     * evicted, and accepting pauses for the period of one sweep. Without this handler Netty pauses
     * for a second and logs a stack trace each time.
     */
    private final class AcceptFailures extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!acceptFailureLogged) {
                acceptFailureLogged = true;
                LOG.warn("can't accept with {} open: {}", connections.size(), cause.getMessage());
            }
            for (int i = 0; i < EVICTIONS_AFTER_ACCEPT_FAILURE && evictOne(null); i++) {}
            context.channel().config().setAutoRead(false);
            context.channel()
                    .eventLoop()
                    .schedule(
                            () -> context.channel().config().setAutoRead(true),
                            SWEEP_PERIOD_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Makes a connection wait for its turn to be read. */
    void throttle(ClientConnection connection) {
        throttle.add(connection);
    }

    SweepBudget sweepBudget() {
        return sweepBudget;
    }

    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        throttle.remove(connection);
        logTableFull();
    }

    /**
     * Logs when the connection table becomes full and when it has room again. Once full, it counts
     * as full until a quarter of it is free, so that a table near its bound does not flood the log.
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

    /** Adds to the bytes of partial input, or subtracts if negative. */
    void holdPartialInput(int bytes) {
        partialInput.add(bytes);
    }

    /** Returns the bytes that all connections keep for input that is not complete. */
    long heldPartialInput() {
        return partialInput.heldBytes();
    }

    /**
     * Rejects the connections that hold most partial input until all of them together keep to the
     * bound. It is called after each read, so that a client which fills the bound pays itself, and
     * not the one that is read next.
     */
    void limitPartialInput() {
        for (int i = connections.size(); i > 0 && partialInput.isExceeded(); i--) {
            logPartialInputExceeded();
            connections.stream()
                    .max(Comparator.comparingInt(ClientConnection::partialInputBytes))
                    .ifPresent(ClientConnection::rejectPartialInput);
        }
    }

    /**
     * Closes the connections with most unsent responses until all of them together keep to the
     * bound: their clients do not read.
     */
    void limitUnsentResponses() {
        long unsentBytes = connections.stream().mapToLong(ClientConnection::unsentBytes).sum();
        for (int i = connections.size(); i > 0 && unsentBytes > maxUnsentBytes; i--) {
            ClientConnection most =
                    Collections.max(
                            connections, Comparator.comparingLong(ClientConnection::unsentBytes));
            unsentBytes -= most.unsentBytes();
            LOG.debug("closing a connection with {} bytes unread", most.unsentBytes());
            most.evict();
        }
    }

    /** Logs when the bound is exceeded for the first time since half of it was free. */
    private void logPartialInputExceeded() {
        if (!partialInputExceeded) {
            partialInputExceeded = true;
            LOG.warn(
                    "partial requests exceed {} bytes: rejecting the connections with most of"
                            + " them",
                    partialInput.maxBytes());
        }
    }

    double nowMillis() {
        return clock.nowMillis();
    }

    /** Time within which a connection must complete a request. */
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
        if (!draining) {
            draining = true;
            if (listener != null) {
                new ListenerClose(listener, ACCEPT_BACKLOG + 1, () -> acceptedCount, clock)
                        .acceptSlice();
            }
        }
    }

    /** Returns whether the listener and all connections are closed. */
    public boolean isClosed() {
        return connections.isEmpty() && !isListening();
    }

    boolean isListening() {
        return listener != null && listener.isOpen();
    }

    /**
     * Refuses every request that begins from now on. Clients that write without a pause would
     * otherwise never let the process end.
     */
    public void refuseRequests() {
        refusesRequests = true;
    }

    boolean refusesRequests() {
        return refusesRequests;
    }

    @Override
    public int connections() {
        return connections.size();
    }
}
