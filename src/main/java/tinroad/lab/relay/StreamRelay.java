package tinroad.lab.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Accepts TCP streams at one address and forwards them to another. The source address of a stream
 * determines which link it belongs to.
 */
public final class StreamRelay {
    private static final int BACKLOG = 1024;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final long SELECTOR_RUN_WAIT_MS = 5;

    private final EventLoopGroup group;
    private final InetSocketAddress listenAddress;
    private final InetSocketAddress targetAddress;
    private final Function<InetSocketAddress, LinkFaults> faultsBySource;
    private final boolean corruptsBytes;
    private final Runnable onConnectFailed;
    private final Consumer<InetSocketAddress> onClosed;
    private Channel listener;

    /**
     * Creates a relay from {@code listenAddress} to {@code targetAddress}; {@link #listen} opens
     * it.
     *
     * @param faultsBySource returns the faults of the link that a source address belongs to
     * @param corruptsBytes whether the relay alters data that it forwards, for tests of the checker
     * @param onConnectFailed called when no connection to {@code targetAddress} could be opened
     * @param onClosed called with the source address of a stream whose far end has ended, before
     *     that source can notice it
     */
    public StreamRelay(
            EventLoopGroup group,
            InetSocketAddress listenAddress,
            InetSocketAddress targetAddress,
            Function<InetSocketAddress, LinkFaults> faultsBySource,
            boolean corruptsBytes,
            Runnable onConnectFailed,
            Consumer<InetSocketAddress> onClosed) {
        this.group = group;
        this.listenAddress = listenAddress;
        this.targetAddress = targetAddress;
        this.faultsBySource = faultsBySource;
        this.corruptsBytes = corruptsBytes;
        this.onConnectFailed = onConnectFailed;
        this.onClosed = onClosed;
    }

    /** Opens the listening socket; blocks until it is bound. */
    public synchronized StreamRelay listen() throws InterruptedException {
        listener =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel near) {
                                        Pipe[] pipe = new Pipe[1];
                                        pipe[0] =
                                                new Pipe(
                                                        faultsBySource.apply(near.remoteAddress()),
                                                        near,
                                                        corruptsBytes,
                                                        () -> connect(near, pipe[0]),
                                                        () ->
                                                                onClosed.accept(
                                                                        near.remoteAddress()));
                                        near.pipeline().addLast(pipe[0].handler(true));
                                        pipe[0].start();
                                    }
                                })
                        .bind(listenAddress)
                        .sync()
                        .channel();
        return this;
    }

    private void connect(SocketChannel near, Pipe pipe) {
        new Bootstrap()
                .group(near.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel far) {
                                far.pipeline().addLast(pipe.handler(false));
                            }
                        })
                .connect(targetAddress)
                .addListener(
                        (ChannelFuture future) -> {
                            if (future.isSuccess()) {
                                pipe.onConnected(future.channel());
                            } else {
                                pipe.reset();
                                onConnectFailed.run();
                            }
                        });
    }

    /** Stops accepting new connections, or accepts them again. */
    public synchronized void refuse(boolean refuses) throws InterruptedException {
        if (refuses) {
            listener.close().sync();
            // Guards against a port that still listens: Java releases a closed socket only at the
            // next run of its selector.
            listener.eventLoop()
                    .schedule(() -> {}, SELECTOR_RUN_WAIT_MS, TimeUnit.MILLISECONDS)
                    .sync();
        } else if (!listener.isOpen()) {
            listen();
        }
    }
}
