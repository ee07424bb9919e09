package tinroad.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import tinroad.core.Gateway;
import tinroad.fleet.Membership;

/**
 * The admin endpoint: HTTP/1.1, one request for each connection. Everything runs on the event loop
 * that owns the gateway.
 */
public final class AdminServer {
    /**
     * Bounds the connections, and so the descriptors, that operators take: the oldest is closed for
     * a new one.
     */
    static final int MAX_CONNECTIONS = 24;

    /** Bounds the body of a request; none needs one. */
    static final int MAX_BODY_BYTES = 4096;

    private final AdminRouter router;
    private final Set<Channel> open = new LinkedHashSet<>();

    /** An endpoint of a gateway that is not a member of a fleet. */
    public AdminServer(Gateway gateway) {
        this(gateway, Optional::empty);
    }

    /**
     * An endpoint of {@code gateway} and of its membership, which is empty while the gateway is not
     * a member of a fleet.
     */
    public AdminServer(Gateway gateway, Supplier<Optional<Membership>> membership) {
        router = new AdminRouter(gateway, membership);
    }

    /** Begins to listen, on the one event loop that owns the gateway. */
    public ChannelFuture listen(EventLoop loop, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                onOpened(channel);
                                channel.pipeline().addLast(handlers());
                            }
                        })
                .bind(address);
    }

    /** What an operator's connection is read with. */
    public ChannelHandler[] handlers() {
        return new ChannelHandler[] {
            new HttpServerCodec(),
            new HttpObjectAggregator(MAX_BODY_BYTES, true),
            new AdminRequestHandler(router)
        };
    }

    /** Guards against clients that connect and send nothing: they never keep the others out. */
    private void onOpened(Channel channel) {
        open.add(channel);
        ChannelFuture unusedFuture =
                channel.closeFuture().addListener(closed -> open.remove(channel));
        if (open.size() > MAX_CONNECTIONS) {
            // The listener above sees its end.
            ChannelFuture unused = open.iterator().next().close();
        }
    }
}
