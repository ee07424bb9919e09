package tinroad.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import tinroad.recovery.DecorrelatedJitterBackoff;

/**
 * Connects to the engine at an address that may change, and retries with an increasing backoff.
 * Only the latest attempt counts; otherwise two connections could replace each other. Runs on the
 * event loop.
 */
final class EngineConnector {
    private static final int MAX_UNFLUSHED_COMMANDS = 64;
    private static final double FIRST_BACKOFF_MILLIS = 1;
    private static final double MAX_BACKOFF_MILLIS = 250;

    private final EventLoop eventLoop;
    private final Supplier<ChannelHandler[]> handlers;
    private final DecorrelatedJitterBackoff backoff;
    private InetSocketAddress address;

    /** The number of the latest attempt; 0 before the first. */
    private int latestAttempt;

    /**
     * Creates a connector of gateway {@code name}.
     *
     * @param handlers called once for each connection, after {@link #latestAttempt} was set to its
     *     number
     */
    EngineConnector(
            EventLoop eventLoop,
            InetSocketAddress address,
            String name,
            long seed,
            Supplier<ChannelHandler[]> handlers) {
        this.eventLoop = eventLoop;
        this.address = address;
        this.handlers = handlers;
        backoff =
                new DecorrelatedJitterBackoff(name, seed, FIRST_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
    }

    InetSocketAddress address() {
        return address;
    }

    int latestAttempt() {
        return latestAttempt;
    }

    /** Attempts to connect at once; earlier attempts no longer count. */
    void connect() {
        int attempt = ++latestAttempt;
        ChannelFuture unused =
                new Bootstrap()
                        .group(eventLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        // Combines all commands that result from one read of events
                                        // into one write, because each write is a system call.
                                        channel.pipeline()
                                                .addLast(
                                                        new FlushConsolidationHandler(
                                                                MAX_UNFLUSHED_COMMANDS));
                                        channel.pipeline().addLast(handlers.get());
                                    }
                                })
                        .connect(address)
                        .addListener(
                                (ChannelFuture connected) -> {
                                    if (!connected.isSuccess()) {
                                        // If no file descriptor is left there is no channel, and so
                                        // no event loop: then this runs on another thread.
                                        eventLoop.execute(() -> reconnectAfter(attempt));
                                    }
                                });
    }

    /** Connects after the backoff, unless there is a later attempt than this one by then. */
    void reconnectAfter(int attempt) {
        if (attempt == latestAttempt) {
            Future<?> unused =
                    eventLoop.schedule(
                            () -> {
                                if (attempt == latestAttempt) {
                                    connect();
                                }
                            },
                            (long) (backoff.nextMillis() * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }

    /** Resets the backoff after the engine has answered, so that the next one is short. */
    void resetBackoff() {
        backoff.reset();
    }

    /** Sets the address of later attempts and resets the backoff. */
    void setAddress(InetSocketAddress newAddress) {
        address = newAddress;
        backoff.reset();
    }
}
