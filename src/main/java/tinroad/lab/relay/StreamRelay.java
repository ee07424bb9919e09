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
 * Accepts streams at one address and brings them on to another. Whose a stream is, its source
 * address tells.
 */
public final class StreamRelay {
    private static final int BACKLOG = 1024;
    private static final int CONNECT_MS = 2000;
    private static final long NEXT_LOOK_MS = 5;

    private final EventLoopGroup group;
    private final InetSocketAddress at;
    private final InetSocketAddress to;
    private final Function<InetSocketAddress, LinkFaults> links;
    private final boolean changesBytes;
    private final Runnable onNobody;
    private final Consumer<InetSocketAddress> onClosed;
    private Channel listener;

    /**
     * A relay from {@code at} to {@code to}.
     *
     * @param links the link of a source
     * @param changesBytes a relay that spoils what it brings on, for tests of the checker
     * @param onNobody hears that nobody listens at {@code to}
     * @param onClosed hears which source's stream the far end has closed, before that source can
     *     know
     */
    public StreamRelay(
            EventLoopGroup group,
            InetSocketAddress at,
            InetSocketAddress to,
            Function<InetSocketAddress, LinkFaults> links,
            boolean changesBytes,
            Runnable onNobody,
            Consumer<InetSocketAddress> onClosed) {
        this.group = group;
        this.at = at;
        this.to = to;
        this.links = links;
        this.changesBytes = changesBytes;
        this.onNobody = onNobody;
        this.onClosed = onClosed;
    }

    /** Listens; blocks until it does. */
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
                                                        links.apply(near.remoteAddress()),
                                                        near,
                                                        changesBytes,
                                                        () -> connect(near, pipe[0]),
                                                        () ->
                                                                onClosed.accept(
                                                                        near.remoteAddress()));
                                        near.pipeline().addLast(pipe[0].end(true));
                                        pipe[0].begin();
                                    }
                                })
                        .bind(at)
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
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel far) {
                                far.pipeline().addLast(pipe.end(false));
                            }
                        })
                .connect(to)
                .addListener(
                        (ChannelFuture done) -> {
                            if (done.isSuccess()) {
                                pipe.connected(done.channel());
                            } else {
                                pipe.reset();
                                onNobody.run();
                            }
                        });
    }

    /** Refuses connections, or accepts them again. */
    public synchronized void refuse(boolean refuses) throws InterruptedException {
        if (refuses) {
            listener.close().sync();
            // Guards against a port that listens on: Java lets go of a socket only in its
            // selector's next look.
            listener.eventLoop().schedule(() -> {}, NEXT_LOOK_MS, TimeUnit.MILLISECONDS).sync();
        } else if (!listener.isOpen()) {
            listen();
        }
    }
}
