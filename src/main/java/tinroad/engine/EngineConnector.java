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
 * Connects to the engine, again and again with a backoff that grows, at an address that may change.
 * Only the latest attempt counts: guards against two connections that replace each other. On the
 * event loop.
 */
final class EngineConnector {
    private static final int MAX_UNFLUSHED_COMMANDS = 64;
    private static final double FIRST_BACKOFF_MILLIS = 1;
    private static final double MAX_BACKOFF_MILLIS = 250;

    private final EventLoop loop;
    private final Supplier<ChannelHandler[]> handlers;
    private final DecorrelatedJitterBackoff backoff;
    private InetSocketAddress address;

    /** The number of the latest attempt; 0 before the first. */
    private int latestAttempt;

    /**
     * Of gateway {@code name}; {@code handlers} is called once for each connection, after {@link
     * #latestAttempt} has its number.
     */
    EngineConnector(
            EventLoop loop,
            InetSocketAddress address,
            String name,
            long seed,
            Supplier<ChannelHandler[]> handlers) {
        this.loop = loop;
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

    /** Attempts to connect at once; earlier attempts count no more. */
    void connect() {
        int attempt = ++latestAttempt;
        ChannelFuture unused =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        // One write for all commands that one read of events brings
                                        // about: each is a call into the kernel.
                                        channel.pipeline()
                                                .addLast(
                                                        new FlushConsolidationHandler(
                                                                MAX_UNFLUSHED_COMMANDS));
                                        channel.pipeline().addLast(handlers.get());
                                    }
                                })
                        .connect(address)
                        .addListener(
                                (ChannelFuture done) -> {
                                    if (!done.isSuccess()) {
                                        // Where no descriptor is left there is no channel, and so
                                        // no event loop: this is another thread.
                                        loop.execute(() -> reconnectAfter(attempt));
                                    }
                                });
    }

    /** Connects after the backoff, unless there is or will be a later attempt than this one. */
    void reconnectAfter(int attempt) {
        if (attempt == latestAttempt) {
            Future<?> unused =
                    loop.schedule(
                            () -> {
                                if (attempt == latestAttempt) {
                                    connect();
                                }
                            },
                            (long) (backoff.nextMillis() * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }

    /** The engine answered: the next backoff is a short one. */
    void resetBackoff() {
        backoff.reset();
    }

    /** The next attempts go to this address; the backoff begins anew. */
    void setAddress(InetSocketAddress to) {
        address = to;
        backoff.reset();
    }
}
